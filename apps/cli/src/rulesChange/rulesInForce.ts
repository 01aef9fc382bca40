import { type Revision, revision, rowKey } from "@heatherferry/common";
import { ROW_PREFIX, type RulesHeadRow, type TableRow } from "@heatherferry/core";
import { checkedRules, type RuleSet, withRevisionLine } from "@heatherferry/rules";
import type { TableView } from "../operation/tableView.js";

export const RULES_HEAD_KEY = rowKey(ROW_PREFIX.RULES_HEAD);

/** The rules as the table has them. */
export interface RulesInForce {
  /** Null before the first revision. */
  readonly row: TableRow<RulesHeadRow> | null;
  /** 0 before the first revision. */
  readonly revision: Revision;
  /** The text with its revision line: line numbers are those of `heatherferry show`. */
  readonly text: string;
}

/**
 * @param view - Rows that include the head of the rules.
 * @returns The rules in force.
 */
export const rulesInForce = (view: TableView): RulesInForce => {
  const row = view.find("rulesHead", RULES_HEAD_KEY);
  const inForce = row?.body.revision ?? revision(0);
  return { row, revision: inForce, text: withRevisionLine(row?.body.text ?? "", inForce) };
};

/**
 * @param inForce - The rules in force.
 * @returns The same, parsed.
 * @throws RulesError when this build cannot read them.
 */
export const parsedRulesInForce = (inForce: RulesInForce): RuleSet =>
  checkedRules(inForce.text, `rules of revision ${inForce.revision}`);
