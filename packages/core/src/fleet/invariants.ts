import type { HostId } from "@heatherferry/common";
import type { PoolRule } from "@heatherferry/rules";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { HOST_PHASE } from "./constants.js";
import { unavailableHosts } from "./permits.js";
import type { HostRow, PoolBudgetRow } from "./types.js";

/**
 * Returns the hosts that have more than one row, that is, belong to several pools or zones.
 *
 * @param rows - All rows of the table.
 * @returns The host ids; empty when the invariant holds.
 */
export const hostsWithSeveralRows = (rows: Iterable<TableRow>): readonly HostId[] => {
  const seen = new Set<HostId>();
  const duplicates: HostId[] = [];
  for (const { body } of rows) {
    if (body.type === "host") {
      if (seen.has(body.hostId)) {
        duplicates.push(body.hostId);
      }
      seen.add(body.hostId);
    }
  }
  return duplicates;
};

/**
 * Whether the permits that a commit grants are within the limits of the pool and of the racks,
 * counting planned and unplanned absences together.
 *
 * @param before - The pool's budget row before the commit; null when the row is new.
 * @param after - The budget row after the commit.
 * @param rule - The pool's rule at that time.
 * @returns True also when the commit grants no permit to a host that was in service.
 */
export const isWithinBudget = (
  before: PoolBudgetRow | null,
  after: PoolBudgetRow,
  rule: PoolRule,
): boolean => {
  const unavailableBefore = before === null ? new Set<HostId>() : unavailableHosts(before);
  const granted = after.permits.filter(({ hostId }) => !unavailableBefore.has(hostId));
  const absences = [...after.permits, ...after.absent];
  const inRack = (rack: string): number =>
    new Set(absences.filter((absence) => absence.rack === rack).map(({ hostId }) => hostId)).size;
  return (
    granted.length === 0 ||
    (unavailableHosts(after).size <= rule.maxUnavailable &&
      granted.every(({ rack }) => inRack(rack) <= rule.maxUnavailablePerRack))
  );
};

/**
 * Returns the stopped hosts on which an entry host has work in flight.
 *
 * @param hosts - The host rows in the table.
 * @param entryHosts - The states of all running entry hosts.
 * @returns The host ids; empty when the invariant holds.
 */
export const stoppedHostsWithWork = (
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
