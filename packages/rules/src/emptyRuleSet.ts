import type { RuleSet } from "./types.js";

/** Rule set without any rules, used until a node has received some; it permits nothing. */
export const EMPTY_RULE_SET: RuleSet = {
  teams: new Map(),
  keys: new Map(),
  pools: new Map(),
  queues: new Map(),
  waves: new Map(),
};
