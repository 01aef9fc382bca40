import type { HostId } from "@heatherferry/common";
import type { PoolRule, RuleSet } from "@heatherferry/rules";

const REGEXP_SPECIAL_CHARACTERS = /[.+^${}()|[\]\\]/g;

/** Compiled globs by their source text. */
const patterns = new Map<string, RegExp>();

const patternOf = (glob: string): RegExp => {
  const known = patterns.get(glob);
  if (known !== undefined) {
    return known;
  }
  const source = glob
    .replace(REGEXP_SPECIAL_CHARACTERS, "\\$&")
    .replace(/\*/g, ".*")
    .replace(/\?/g, ".");
  const pattern = new RegExp(`^${source}$`);
  patterns.set(glob, pattern);
  return pattern;
};

/**
 * Finds the pool that a newly listed host joins.
 *
 * @param rules - The rules in force.
 * @param hostId - A host without a row.
 * @returns The first pool rule, in line order, whose glob matches the host id, or null.
 */
export const initialPool = (rules: RuleSet, hostId: HostId): PoolRule | null => {
  let first: PoolRule | null = null;
  for (const rule of rules.pools.values()) {
    const earlier = first === null || rule.line < first.line;
    if (earlier && patternOf(rule.hosts).test(hostId)) {
      first = rule;
    }
  }
  return first;
};
