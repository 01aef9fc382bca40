import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";

/** Prints the rules in force, with their revision as the first line. */
export class ShowRules extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  override decide(view: TableView): Finish {
    return done(rulesInForce(view).text);
  }
}
