import type { Revision } from "@heatherferry/common";
import {
  diffRules,
  formatDiff,
  isEmptyDiff,
  revisionOfText,
  withRevisionLine,
} from "@heatherferry/rules";
import { done, failed, out } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Continue, Decision, Finish, Write } from "../operation/types.js";
import {
  type Author,
  describeUnknownChange,
  planRulesChange,
  type RulesChange,
} from "../rulesChange/planRulesChange.js";
import { RULES_HEAD_KEY, rulesInForce, type RulesInForce } from "../rulesChange/rulesInForce.js";
import { AwaitRollOut, rollOutPlan, type WaitBounds } from "./awaitRollOut.js";
import { CheckBudgets } from "./checkBudgets.js";
import { changedPools } from "./changedPools.js";
import { ShowLostRace } from "./showLostRace.js";

/** What an operator asks to be put in force. */
export interface ApplyRequest {
  /** Name of the file, for messages. */
  readonly path: string;
  /** The whole file, already checked. */
  readonly text: string;
  readonly author: Author;
  /** The revision that the operator started from; null where none was named. */
  readonly from: Revision | null;
  /** Null not to wait for the entry hosts. */
  readonly wait: WaitBounds | null;
  /** Pools whose budget was already compared with their hosts. */
  readonly budgetsChecked: boolean;
}

/** Puts a rules file in force, if nobody changed the rules since the operator read them. */
export class Apply extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /** @param request - What is asked. */
  constructor(private readonly request: ApplyRequest) {
    super();
  }

  override decide(view: TableView): Decision {
    const inForce = rulesInForce(view);
    const from = this.request.from ?? revisionOfText(this.request.text) ?? inForce.revision;
    if (this.isInForce(inForce)) {
      return this.alreadyInForce(inForce);
    }
    if (from !== inForce.revision) {
      return this.lostRace(from, inForce);
    }
    return this.checkBudgets(inForce, from) ?? this.write(inForce, from);
  }

  private isInForce(inForce: RulesInForce): boolean {
    return (
      inForce.row !== null && withRevisionLine(this.request.text, inForce.revision) === inForce.text
    );
  }

  private alreadyInForce({ revision }: RulesInForce): Finish | Continue {
    const text = `These rules are in force as revision ${revision}; nothing to change.`;
    return this.request.wait === null
      ? done(text)
      : rollOutPlan(new AwaitRollOut(revision, this.request.wait), [out(text)]);
  }

  private lostRace(from: Revision, inForce: RulesInForce): Finish | Continue {
    if (from > inForce.revision) {
      return failed(
        `${this.request.path} starts from revision ${from}, and only ${inForce.revision} is ` +
          "reached here. Check --platform and the file's first line.",
      );
    }
    return {
      type: "continue",
      outputs: [],
      afterMs: 0,
      operation: new ShowLostRace(this.request.path, from, inForce.revision),
    };
  }

  private checkBudgets(inForce: RulesInForce, from: Revision): Continue | null {
    const pools = changedPools(inForce.text, this.request.text);
    if (this.request.budgetsChecked || pools.length === 0) {
      return null;
    }
    const next = new Apply({ ...this.request, from, budgetsChecked: true });
    const operation = new CheckBudgets(this.request.path, pools, next);
    return { type: "continue", outputs: [], afterMs: 0, operation };
  }

  private write(inForce: RulesInForce, from: Revision): Write {
    const change = planRulesChange(inForce, this.request.text, this.request.author);
    return {
      type: "write",
      rows: change.rows,
      committed: this.applied(inForce, change),
      conflicted: new Apply({ ...this.request, from }),
      unknown: describeUnknownChange(change),
    };
  }

  private applied(inForce: RulesInForce, { revision }: RulesChange): Finish | Continue {
    const diff = diffRules(inForce.text, this.request.text);
    const changes = isEmptyDiff(diff) ? "Only comments changed.\n" : formatDiff(diff);
    const text =
      `${changes}Revision ${revision} is in force. Before the next edit run ` +
      "`heatherferry show`, or put this as the first line of the file:\n" +
      `# revision ${revision}`;
    return this.request.wait === null
      ? done(text)
      : rollOutPlan(new AwaitRollOut(revision, this.request.wait), [out(text)]);
  }
}
