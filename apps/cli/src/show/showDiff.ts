import { diffRules, formatDiff, isEmptyDiff } from "@heatherferry/rules";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";

/** Prints what a rules file would change. */
export class ShowDiff extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /** @param text - Content of the file, already validated. */
  constructor(private readonly text: string) {
    super();
  }

  override decide(view: TableView): Finish {
    const inForce = rulesInForce(view);
    const diff = diffRules(inForce.text, this.text);
    return done(
      isEmptyDiff(diff)
        ? `No rule differs from revision ${inForce.revision}.`
        : `Against revision ${inForce.revision}:\n${formatDiff(diff)}`,
    );
  }
}
