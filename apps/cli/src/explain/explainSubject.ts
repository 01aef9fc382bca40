import { explain, type Subject } from "@heatherferry/rules";
import { done, failed } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { parsedRulesInForce, RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";

/** Prints the rules that apply to a team, pool or queue. */
export class ExplainSubject extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /** @param subject - Team, pool or queue to explain. */
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
    const explained = lines.map(
      ({ line, text, askedBy, decides }) =>
        `line ${line}, ${decides}:\n  ${text}\n  asked by: ${askedBy}`,
    );
    return done([`${kind} ${name}, revision ${inForce.revision}`, ...explained].join("\n"));
  }
}
