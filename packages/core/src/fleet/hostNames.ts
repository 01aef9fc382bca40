import type { HostId } from "@heatherferry/common";
import type { PoolRule, RuleSet } from "@heatherferry/rules";

const SPECIAL = /[.+^${}()|[\]\\]/g;

const patterns = new Map<string, RegExp>();

const patternOf = (glob: string): RegExp => {
  const known = patterns.get(glob);
  if (known !== undefined) {
    return known;
  }
  const source = glob.replace(SPECIAL, "\\$&").replace(/\*/g, ".*").replace(/\?/g, ".");
  const made = new RegExp(`^${source}$`);
  patterns.set(glob, made);
  return made;
};

/**
 * @param rules - The rules in force.
 * @param hostId - A host without a row.
 * @returns The first pool, in order of lines, whose glob matches the host's name.
 */
export const startingPool = (rules: RuleSet, hostId: HostId): PoolRule | null => {
  let first: PoolRule | null = null;
  for (const rule of rules.pools.values()) {
    const earlier = first === null || rule.line < first.line;
    if (earlier && patternOf(rule.hosts).test(hostId)) {
      first = rule;
    }
  }
  return first;
};
