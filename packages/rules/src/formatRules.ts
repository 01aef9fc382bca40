import { grammarOfRule } from "./grammar/grammars.js";
import type { Rule, RuleSet } from "./types.js";

/**
 * @param rule - A rule.
 * @returns Its line, with every field written out.
 */
export const formatRule = (rule: Rule): string => {
  const grammar = grammarOfRule(rule);
  const fields = grammar.write(rule).map(({ name, value }) => `${name}=${value}`);
  return `${[rule.kind, grammar.nameOf(rule), ...fields].join(" ")} # ${rule.askedBy}`;
};

/**
 * @param rules - A rule set.
 * @returns All its rules in the order of their lines.
 */
export const rulesInOrder = (rules: RuleSet): readonly Rule[] =>
  [
    ...rules.teams.values(),
    ...rules.keys.values(),
    ...rules.pools.values(),
    ...rules.queues.values(),
    ...rules.waves.values(),
  ].sort((a, b) => a.line - b.line);

/**
 * @param rules - A rule set.
 * @returns A file that reads back as the same rules.
 */
export const formatRules = (rules: RuleSet): string =>
  rulesInOrder(rules)
    .map((rule) => `${formatRule(rule)}\n`)
    .join("");
