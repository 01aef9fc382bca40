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

/** Key prefixes of the rows that determine whether a host may be drained. */
export const FLEET_PREFIXES = [
  RULES_HEAD_KEY,
  rowKey(ROW_PREFIX.HOST),
  rowKey(ROW_PREFIX.POOL_BUDGET),
] as const;

/**
 * Returns the row of a host.
 *
 * @param view - Rows that include the hosts.
 * @param hostId - Id of the host.
 * @throws DrainError if the fleet has no such host.
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

/** A pool's budget row as it was read, or a new one if the pool has none. */
export interface Budget {
  readonly key: RowKey;
  /** The row as it was read; null if it does not exist. */
  readonly previous: TableRow<PoolBudgetRow> | null;
  readonly body: PoolBudgetRow;
}

/**
 * Returns the budget of a pool; an empty one if the table has no row for it yet.
 *
 * @param view - Rows that include the budgets.
 * @param pool - Id of the pool.
 */
export const findBudget = (view: TableView, pool: PoolId): Budget => {
  const key = budgetKey(pool);
  const previous = view.find("poolBudget", key);
  return { key, previous, body: previous?.body ?? emptyBudget(pool) };
};

/**
 * Returns the rows of the transaction that starts or ends a drain.
 *
 * @param host - The host's row as it was read.
 * @param budget - The pool's budget as it was read.
 * @param rows - The new content of both rows.
 */
export const plannedDrainRows = (
  host: TableRow<HostRow>,
  budget: Budget,
  rows: DrainRows,
): readonly PlannedRow[] => [
  { key: host.key, previous: host, body: rows.host },
  { key: budget.key, previous: budget.previous, body: rows.budget },
];
