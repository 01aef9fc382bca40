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
import { AwaitRollOut, awaitRollOutStep, type WaitBounds } from "./awaitRollOut.js";
import { CheckBudgets } from "./checkBudgets.js";
import { changedPools } from "./changedPools.js";
import { ShowConflictingChanges } from "./showConflictingChanges.js";

/** Request of an operator to apply a rules file. */
export interface ApplyRequest {
  /** Path of the file, shown in messages. */
  readonly path: string;
  /** Content of the file, already validated. */
  readonly text: string;
  readonly author: Author;
  /** Revision that the file is based on; null if the operator passed none. */
  readonly from: Revision | null;
  /** How long to wait for the entry hosts; null to return at once. */
  readonly wait: WaitBounds | null;
  /** Whether the changed pool budgets were already compared with the number of hosts. */
  readonly budgetsChecked: boolean;
}

/** Applies a rules file, unless the rules in force have changed since the operator read them. */
export class Apply extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /** @param request - The file, its author and the options. */
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
      return this.rejectBaseRevision(from, inForce);
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
      : awaitRollOutStep(new AwaitRollOut(revision, this.request.wait), [out(text)]);
  }

  private rejectBaseRevision(from: Revision, inForce: RulesInForce): Finish | Continue {
    if (from > inForce.revision) {
      return failed(
        `${this.request.path} starts from revision ${from}, but revision ${inForce.revision} is ` +
          "the latest here. Check --platform and the file's first line.",
      );
    }
    return {
      type: "continue",
      outputs: [],
      afterMs: 0,
      operation: new ShowConflictingChanges(this.request.path, from, inForce.revision),
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
      committed: this.reportCommit(inForce, change),
      conflicted: new Apply({ ...this.request, from }),
      unknown: describeUnknownChange(change),
    };
  }

  private reportCommit(inForce: RulesInForce, { revision }: RulesChange): Finish | Continue {
    const diff = diffRules(inForce.text, this.request.text);
    const changes = isEmptyDiff(diff) ? "Only comments changed.\n" : formatDiff(diff);
    const text =
      `${changes}Revision ${revision} is in force. Before the next edit run ` +
      "`heatherferry show`, or put this as the first line of the file:\n" +
      `# revision ${revision}`;
    return this.request.wait === null
      ? done(text)
      : awaitRollOutStep(new AwaitRollOut(revision, this.request.wait), [out(text)]);
  }
}
