import { explain, type Subject } from "@heatherferry/rules";
import { done, failed } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { parsedRulesInForce, RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";

/** Prints the lines that decide how a team, pool or queue is treated. */
export class ExplainSubject extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /** @param subject - What is asked about. */
  constructor(private readonly subject: Subject) {
    super();
  }

  override decide(view: TableView): Finish {
    const inForce = rulesInForce(view);
    const lines = explain(parsedRulesInForce(inForce), this.subject);
    const { kind, name } = this.subject;
    if (lines.length === 0) {
      return failed(
        `Revision ${inForce.revision} has no ${kind} "${name}". ` +
          "Look the name up with `heatherferry show`.",
      );
    }
    const told = lines.map(
      ({ line, text, askedBy, decides }) =>
        `line ${line}, ${decides}:\n  ${text}\n  asked by: ${askedBy}`,
    );
    return done([`${kind} ${name}, revision ${inForce.revision}`, ...told].join("\n"));
  }
}
