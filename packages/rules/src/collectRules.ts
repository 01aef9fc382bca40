import { assertNever } from "@heatherferry/common";
import { RULE_KIND } from "./constants.js";
import { grammarOfRule } from "./grammar/grammars.js";
import { ruleIdentity } from "./text/identity.js";
import type { Rule, RuleProblem, RuleSet } from "./types.js";

const addTo = (rules: MutableRuleSet, rule: Rule): void => {
  switch (rule.kind) {
    case RULE_KIND.TEAM:
      rules.teams.set(rule.team, rule);
      return;
    case RULE_KIND.KEY:
      rules.keys.set(rule.key, rule);
      return;
    case RULE_KIND.POOL:
      rules.pools.set(rule.pool, rule);
      return;
    case RULE_KIND.QUEUE:
      rules.queues.set(rule.queue, rule);
      return;
    case RULE_KIND.WAVE:
      rules.waves.set(rule.wave, rule);
      return;
    default:
      assertNever(rule);
  }
};

type MutableRuleSet = {
  [Kind in keyof RuleSet]: RuleSet[Kind] extends ReadonlyMap<infer Id, infer R>
    ? Map<Id, R>
    : never;
};

/**
 * Groups rules by kind and name.
 *
 * @param rules - Rules, no two with the same kind and name.
 */
export const collectRules = (rules: readonly Rule[]): RuleSet => {
  const collected: MutableRuleSet = {
    teams: new Map(),
    keys: new Map(),
    pools: new Map(),
    queues: new Map(),
    waves: new Map(),
  };
  for (const rule of rules) {
    addTo(collected, rule);
  }
  return collected;
};

const identityOfRule = (rule: Rule): string =>
  ruleIdentity(rule.kind, grammarOfRule(rule).nameOf(rule));

/**
 * Discards rules with problems and rules that refer to a discarded one.
 *
 * @param rules - The rules whose lines are valid in themselves.
 * @param problems - All problems of the file.
 * @returns The remaining rules, each of which refers only to rules on lines without problems.
 */
export const keepValid = (
  rules: readonly Rule[],
  problems: readonly RuleProblem[],
): readonly Rule[] => {
  if (problems.length === 0) {
    return rules;
  }
  const invalidLines = new Set(problems.map(({ line }) => line));
  const valid = rules.filter(({ line }) => !invalidLines.has(line));
  const identities = new Set(valid.map(identityOfRule));
  return valid.filter((rule) =>
    grammarOfRule(rule)
      .references(rule)
      .every(({ kind, name }) => identities.has(ruleIdentity(kind, name))),
  );
};
