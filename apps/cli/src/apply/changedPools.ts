import { type ChangedRule, diffRules, parseRules, type PoolRule } from "@heatherferry/rules";

const newLineNumber = ({ to }: ChangedRule): number => to.line;

/**
 * Returns the pools whose line is new or changed: only these can newly violate a budget.
 *
 * @param fromText - The rules in force.
 * @param toText - The new rules.
 */
export const changedPools = (fromText: string, toText: string): readonly PoolRule[] => {
  const diff = diffRules(fromText, toText);
  const lines = new Set([
    ...diff.added.map(({ line }) => line),
    ...diff.changed.map(newLineNumber),
  ]);
  return [...parseRules(toText).rules.pools.values()].filter(({ line }) => lines.has(line));
};
