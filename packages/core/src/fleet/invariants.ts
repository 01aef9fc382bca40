import type { HostId } from "@heatherferry/common";
import type { PoolRule } from "@heatherferry/rules";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { HOST_PHASE } from "./constants.js";
import { absentHosts } from "./permits.js";
import type { HostRow, PoolBudgetRow } from "./types.js";

/**
 * @param rows - All rows of the table.
 * @returns The hosts that have rows in several pools or zones; none when all is well.
 */
export const hostInOnePool = (rows: Iterable<TableRow>): readonly HostId[] => {
  const seen = new Set<HostId>();
  const twice: HostId[] = [];
  for (const { body } of rows) {
    if (body.type === "host") {
      if (seen.has(body.hostId)) {
        twice.push(body.hostId);
      }
      seen.add(body.hostId);
    }
  }
  return twice;
};

/**
 * @param before - Absences of a pool before a commit; null when the row is new.
 * @param after - The same after it.
 * @param rule - The pool's rule at that time.
 * @returns Whether a host that the commit took out by plan was within the pool's and the
 *   rack's bound, planned and unplanned absences together.
 */
export const budgetHolds = (
  before: PoolBudgetRow | null,
  after: PoolBudgetRow,
  rule: PoolRule,
): boolean => {
  const out = before === null ? new Set<HostId>() : absentHosts(before);
  const granted = after.permits.filter(({ hostId }) => !out.has(hostId));
  const absences = [...after.permits, ...after.absent];
  const inRack = (rack: string): number =>
    new Set(absences.filter((one) => one.rack === rack).map(({ hostId }) => hostId)).size;
  return (
    granted.length === 0 ||
    (absentHosts(after).size <= rule.maxUnavailable &&
      granted.every(({ rack }) => inRack(rack) <= rule.maxUnavailablePerRack))
  );
};

/**
 * @param hosts - Rows of hosts as the table has them.
 * @param entryHosts - The states of all entry hosts that are alive.
 * @returns The stopped hosts on which an entry host has work in flight; none when all is well.
 */
export const noWorkCutOff = (
  hosts: Iterable<HostRow>,
  entryHosts: readonly State[],
): readonly HostId[] => {
  const busy = new Set<HostId>();
  for (const { requests } of entryHosts) {
    for (const { hostId } of requests.attempts.values()) {
      busy.add(hostId);
    }
  }
  return [...hosts]
    .filter(({ hostId, phase }) => phase === HOST_PHASE.STOPPED && busy.has(hostId))
    .map(({ hostId }) => hostId);
};
