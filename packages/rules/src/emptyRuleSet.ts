import type { RuleSet } from "./types.js";

/** Rules of a node that has not learned any yet: nothing is allowed. */
export const EMPTY_RULE_SET: RuleSet = {
  teams: new Map(),
  keys: new Map(),
  pools: new Map(),
  queues: new Map(),
  waves: new Map(),
};
