import { assertNever, poolId, queueId, teamId } from "@heatherferry/common";
import { RULE_KIND } from "./constants.js";
import { formatRule } from "./formatRules.js";
import type { QueueRule, Rule, RuleSet } from "./types.js";

/** The team, pool or queue that an operator asks about. */
export interface Subject {
  readonly kind: typeof RULE_KIND.TEAM | typeof RULE_KIND.POOL | typeof RULE_KIND.QUEUE;
  readonly name: string;
}

/** A line of the rules that determines how a subject is treated. */
export interface DecidingLine {
  readonly line: number;
  /** The rule with all fields, defaults included. */
  readonly text: string;
  readonly askedBy: string;
  /** What the line determines for the subject. */
  readonly decides: string;
}

const deciding = (rule: Rule | undefined, decides: string): readonly DecidingLine[] =>
  rule === undefined
    ? []
    : [{ line: rule.line, text: formatRule(rule), askedBy: rule.askedBy, decides }];

const explainTeam = (rules: RuleSet, name: string): readonly DecidingLine[] => {
  const team = teamId(name);
  const keys = [...rules.keys.values()].filter((key) => key.team === team);
  const queues = [...rules.queues.values()].filter((queue) => queue.openTeam === team);
  return [
    ...deciding(rules.teams.get(team), "share when a pool is full, and upper limit in the fleet"),
    ...keys.flatMap((key) => deciding(key, "a key that works for this team")),
    ...queues.flatMap((queue) => deciding(queue, "requests without a key are charged to it")),
  ];
};

const explainPool = (rules: RuleSet, name: string): readonly DecidingLine[] => {
  const pool = poolId(name);
  const queues = [...rules.queues.values()].filter((queue) => queue.pool === pool);
  const waves = [...rules.waves.values()].filter((wave) => wave.pool === pool);
  return [
    ...deciding(rules.pools.get(pool), "its hosts and its availability budget"),
    ...queues.flatMap((queue) => deciding(queue, "a queue that it serves")),
    ...waves.flatMap((wave) => deciding(wave, "maintenance of its hosts")),
  ];
};

const explainOpenQueue = (rules: RuleSet, queue: QueueRule): readonly DecidingLine[] =>
  queue.openTeam === null
    ? []
    : deciding(rules.teams.get(queue.openTeam), "the team charged for requests without a key");

const explainQueue = (rules: RuleSet, name: string): readonly DecidingLine[] => {
  const queue = rules.queues.get(queueId(name));
  if (queue === undefined) {
    return [];
  }
  return [
    ...deciding(queue, "who may use it, its bounds and its urgency"),
    ...deciding(rules.pools.get(queue.pool), "the pool that serves it"),
    ...explainOpenQueue(rules, queue),
  ];
};

/**
 * Finds the lines of the rules that determine how a subject is treated.
 *
 * @param rules - The rules in force.
 * @param subject - A team, pool or queue.
 * @returns The lines; empty if the rules do not mention the subject.
 */
export const explain = (rules: RuleSet, subject: Subject): readonly DecidingLine[] => {
  switch (subject.kind) {
    case RULE_KIND.TEAM:
      return explainTeam(rules, subject.name);
    case RULE_KIND.POOL:
      return explainPool(rules, subject.name);
    case RULE_KIND.QUEUE:
      return explainQueue(rules, subject.name);
    default:
      return assertNever(subject.kind);
  }
};
