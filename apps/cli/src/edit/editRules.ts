import { checkedRules } from "@heatherferry/rules";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish, Write } from "../operation/types.js";
import {
  type Author,
  describeUnknownChange,
  planRulesChange,
} from "../rulesChange/planRulesChange.js";
import { parsedRulesInForce, RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";
import type { RulesEdit } from "./rulesEdit.js";

/** Applies one edit as a new revision; after a write conflict, on the rules then in force. */
export class EditRules extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /**
   * @param edit - Edit to apply.
   * @param author - Operator who makes the change.
   */
  constructor(
    private readonly edit: RulesEdit,
    private readonly author: Author,
  ) {
    super();
  }

  override decide(view: TableView): Finish | Write {
    const inForce = rulesInForce(view);
    const text = this.edit.apply(inForce.text, parsedRulesInForce(inForce));
    if (text === inForce.text) {
      return done(`It is so already in revision ${inForce.revision}; nothing to change.`);
    }
    checkedRules(text, "the new rules");
    const change = planRulesChange(inForce, text, this.author);
    return {
      type: "write",
      rows: change.rows,
      committed: done(`${this.edit.successMessage}\nRevision ${change.revision} is in force.`),
      conflicted: this,
      unknown: describeUnknownChange(change),
    };
  }
}
