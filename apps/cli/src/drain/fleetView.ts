import { type HostId, type PoolId, type RowKey, rowKey } from "@heatherferry/common";
import {
  emptyBudget,
  type HostRow,
  type PoolBudgetRow,
  ROW_PREFIX,
  type TableRow,
} from "@heatherferry/core";
import type { TableView } from "../operation/tableView.js";
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

const budgetKey = (pool: PoolId): RowKey => rowKey(ROW_PREFIX.POOL_BUDGET + pool);

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
