import { type HostId, type PoolId, type RowKey, rowKey } from "@heatherferry/common";
import {
  budgetKey,
  type DrainRows,
  emptyBudget,
  type HostRow,
  type PoolBudgetRow,
  ROW_PREFIX,
  type TableRow,
} from "@heatherferry/core";
import type { TableView } from "../operation/tableView.js";
import type { PlannedRow } from "../operation/types.js";
import { RULES_HEAD_KEY } from "../rulesChange/rulesInForce.js";
import { DRAIN_ERROR_KIND, DrainError } from "./errors.js";

/** Prefixes of the rows that decide whether a host may leave. */
export const FLEET_PREFIXES = [
  RULES_HEAD_KEY,
  rowKey(ROW_PREFIX.HOST),
  rowKey(ROW_PREFIX.POOL_BUDGET),
] as const;

/**
 * @param view - Rows that include the hosts.
 * @param hostId - A host.
 * @returns Its row.
 * @throws DrainError when there is no such host.
 */
export const findHost = (view: TableView, hostId: HostId): TableRow<HostRow> => {
  const row = view.ofType("host").find(({ body }) => body.hostId === hostId);
  if (row === undefined) {
    throw new DrainError(
      DRAIN_ERROR_KIND.UNKNOWN_HOST,
      `The fleet has no host "${hostId}"`,
      "Look the name up with `heatherferry status`",
    );
  }
  return row;
};

/** A pool's budget row as it was read, or the one to make. */
export interface Budget {
  readonly key: RowKey;
  readonly previous: TableRow<PoolBudgetRow> | null;
  readonly body: PoolBudgetRow;
}

/**
 * @param view - Rows that include the budgets.
 * @param pool - A pool.
 * @returns Its budget row; one without permits where there is none yet.
 */
export const findBudget = (view: TableView, pool: PoolId): Budget => {
  const key = budgetKey(pool);
  const previous = view.find("poolBudget", key);
  return { key, previous, body: previous?.body ?? emptyBudget(pool) };
};

/**
 * @param host - The host's row as it was read.
 * @param budget - The pool's budget as it was read.
 * @param rows - Both rows with the drain begun or ended.
 * @returns The rows of one transaction.
 */
export const plannedDrainRows = (
  host: TableRow<HostRow>,
  budget: Budget,
  rows: DrainRows,
): readonly PlannedRow[] => [
  { key: host.key, previous: host, body: rows.host },
  { key: budget.key, previous: budget.previous, body: rows.budget },
];
