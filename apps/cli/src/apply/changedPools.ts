import { type ChangedRule, diffRules, parseRules, type PoolRule } from "@heatherferry/rules";

const newLine = ({ to }: ChangedRule): number => to.line;

/**
 * @param fromText - The rules in force.
 * @param toText - The rules to come.
 * @returns The pools whose line is new or changed: only these can newly break a budget.
 */
export const changedPools = (fromText: string, toText: string): readonly PoolRule[] => {
  const diff = diffRules(fromText, toText);
  const lines = new Set([...diff.added.map(({ line }) => line), ...diff.changed.map(newLine)]);
  return [...parseRules(toText).rules.pools.values()].filter(({ line }) => lines.has(line));
};
