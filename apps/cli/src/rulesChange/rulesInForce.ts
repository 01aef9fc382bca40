import { type Revision, revision, rowKey } from "@heatherferry/common";
import { ROW_PREFIX, type RulesHeadRow, type TableRow } from "@heatherferry/core";
import { checkedRules, type RuleSet, withRevisionLine } from "@heatherferry/rules";
import type { TableView } from "../operation/tableView.js";

/** Key of the row that holds the rules in force. */
export const RULES_HEAD_KEY = rowKey(ROW_PREFIX.RULES_HEAD);

/** The rules in force, as stored in the table. */
export interface RulesInForce {
  /** Null before the first revision. */
  readonly row: TableRow<RulesHeadRow> | null;
  /** 0 before the first revision. */
  readonly revision: Revision;
  /** Text with its revision line, so that line numbers match those of `heatherferry show`. */
  readonly text: string;
}

/**
 * Returns the rules in force.
 *
 * @param view - Rows that include the rules head.
 */
export const rulesInForce = (view: TableView): RulesInForce => {
  const row = view.find("rulesHead", RULES_HEAD_KEY);
  const inForce = row?.body.revision ?? revision(0);
  return { row, revision: inForce, text: withRevisionLine(row?.body.text ?? "", inForce) };
};

/**
 * Parses the rules in force.
 *
 * @throws RulesError if this build cannot parse them.
 */
export const parsedRulesInForce = (inForce: RulesInForce): RuleSet =>
  checkedRules(inForce.text, `rules of revision ${inForce.revision}`);
