import type { RowKey } from "@heatherferry/common";
import type { RuleSet } from "@heatherferry/rules";
import {
  budgetHolds,
  hostInOnePool,
  noWorkCutOff,
  type State,
  type TableRow,
} from "../../src/index.js";

export const rowViolations = (
  rows: readonly TableRow[],
  states: readonly State[],
): readonly string[] => {
  const hosts = rows.flatMap(({ body }) => (body.type === "host" ? [body] : []));
  return [
    ...noWorkCutOff(hosts, states).map((hostId) => `${hostId} stopped with work`),
    ...hostInOnePool(rows).map((hostId) => `${hostId} in two pools`),
  ];
};

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
    const old = before.get(key)?.body;
    const holds = budgetHolds(old?.type === "poolBudget" ? old : null, body, rule);
    return holds ? [] : [`${body.pool} over its budget`];
  });
