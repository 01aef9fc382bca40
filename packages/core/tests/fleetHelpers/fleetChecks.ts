import type { RowKey } from "@heatherferry/common";
import type { RuleSet } from "@heatherferry/rules";
import {
  isWithinBudget,
  hostsWithSeveralRows,
  stoppedHostsWithWork,
  type State,
  type TableRow,
} from "../../src/index.js";

/** Returns the violations of the invariants over host rows and the work in flight. */
export const rowViolations = (
  rows: readonly TableRow[],
  states: readonly State[],
): readonly string[] => {
  const hosts = rows.flatMap(({ body }) => (body.type === "host" ? [body] : []));
  return [
    ...stoppedHostsWithWork(hosts, states).map((hostId) => `${hostId} stopped with work`),
    ...hostsWithSeveralRows(rows).map((hostId) => `${hostId} in two pools`),
  ];
};

/** Returns the pools whose budget a commit exceeds. */
export const budgetViolations = (
  before: ReadonlyMap<RowKey, TableRow>,
  written: readonly TableRow[],
  rules: RuleSet,
): readonly string[] =>
  written.flatMap(({ key, body }) => {
    const rule = body.type === "poolBudget" ? rules.pools.get(body.pool) : undefined;
    if (body.type !== "poolBudget" || rule === undefined) {
      return [];
    }
    const previous = before.get(key)?.body;
    const isWithin = isWithinBudget(previous?.type === "poolBudget" ? previous : null, body, rule);
    return isWithin ? [] : [`${body.pool} over its budget`];
  });
