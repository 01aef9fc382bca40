import { grammarOfRule } from "./grammar/grammars.js";
import type { Rule, RuleSet } from "./types.js";

/**
 * Formats a rule as a line with all fields, defaults included.
 *
 * @param rule - A rule.
 */
export const formatRule = (rule: Rule): string => {
  const grammar = grammarOfRule(rule);
  const fields = grammar.formatFields(rule).map(({ name, value }) => `${name}=${value}`);
  return `${[rule.kind, grammar.nameOf(rule), ...fields].join(" ")} # ${rule.askedBy}`;
};

/**
 * Returns all rules of a set, ordered by line.
 *
 * @param rules - A rule set.
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
 * Formats a rule set as a rules file.
 *
 * @param rules - A rule set.
 * @returns Text that parses to the same rules, without blank lines and comment lines.
 */
export const formatRules = (rules: RuleSet): string =>
  rulesInOrder(rules)
    .map((rule) => `${formatRule(rule)}\n`)
    .join("");
