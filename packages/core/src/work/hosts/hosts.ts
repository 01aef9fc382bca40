import type { AvailabilityZoneId, HostId } from "@heatherferry/common";
import { HOST_TIMING, OWNERSHIP } from "../constants.js";
import { workerOn } from "./hostWorkers.js";
import { isEvacuated } from "../evacuation/index.js";
import type { WorkEvent } from "../events.js";
import type { OwnedWork } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { HostListing, OwnerRow, Resources } from "../types.js";

/**
 * Requests a host list from the platform unless one was requested recently.
 *
 * @param minIntervalMs - Least time between two requests.
 */
export const requestHostList = (turn: Turn, owned: OwnedWork, minIntervalMs: number): void => {
  const lastSentAtMs = owned.hostListPollSentAtMs ?? -Infinity;
  if (turn.nowMs - lastSentAtMs >= minIntervalMs) {
    owned.hostListPollSentAtMs = turn.nowMs;
    turn.effects.push({ type: "power/list" });
  }
};

/** Adds a kind of workers; if it is new, work that fitted nowhere is looked at again. */
export const addKind = (owned: OwnedWork, labels: readonly string[], capacity: Resources): void => {
  if (owned.fleet.add(labels, capacity)) {
    for (const pool of owned.pools.values()) {
      pool.backlog.markAllChanged();
      pool.dirty = true;
    }
  }
};

/**
 * Notes which hosts are in maintenance by an order of a previous owner: those that the first list
 * shows, as long as later ones still do. This owner orders none before its first list.
 */
const noteInheritedMaintenance = (owned: OwnedWork, listed: readonly HostListing[]): void => {
  const isFirstList = owned.hostListReceivedAtMs === null;
  for (const { host, inMaintenance } of listed) {
    if (!inMaintenance) {
      owned.inheritedMaintenance.delete(host);
    } else if (isFirstList) {
      owned.inheritedMaintenance.add(host);
    }
  }
};

/** Replaces the known hosts by those of a new host list, which is always complete. */
export const applyHostList = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "power/listed" }>,
): void => {
  const knownHosts = new Map(owned.hosts);
  owned.hosts.clear();
  for (const listing of event.hosts) {
    // An order sent after the list was requested may not show in it, so the known state stays.
    const orderedAfterRequest = (owned.hostOrders.get(listing.host) ?? -Infinity) >= event.sentAtMs;
    owned.hosts.set(
      listing.host,
      (orderedAfterRequest ? knownHosts.get(listing.host) : null) ?? listing,
    );
  }
  for (const { host, labels, capacity } of event.hosts) {
    if (capacity !== null) {
      addKind(owned, labels, capacity);
    } else if (!owned.fleet.hasUnknownHosts) {
      owned.fleet.hasUnknownHosts = true;
      logLine(turn, "warn", "hosts.capacityUnknown", { host });
    }
  }
  noteInheritedMaintenance(owned, event.hosts);
  owned.hostListReceivedAtMs = turn.nowMs;
  owned.hostListRequestedAtMs = event.sentAtMs;
};

/** Time after an order to a host during which the next owner must not order that host. */
const exclusivityMs = ({ work }: Turn): number =>
  Math.max(work.bounds.hostOrderLeaseMs, HOST_TIMING.ORDER_LIFETIME_MS) +
  HOST_TIMING.EXCLUSIVITY_MARGIN_MS;

/**
 * Returns the hosts that the next owner must not order yet, with the age of the last order in ms,
 * or null where the order has not been sent.
 */
export const recentHostOrders = (turn: Turn, owned: OwnedWork): Record<HostId, number | null> => {
  const ages: Record<HostId, number | null> = {};
  for (const [host, orderableAtMs] of owned.inheritedOrders) {
    if (orderableAtMs > turn.nowMs) {
      ages[host] = Math.round(exclusivityMs(turn) - (orderableAtMs - turn.nowMs));
    }
  }
  for (const [host, orderedAtMs] of owned.hostOrders) {
    if (turn.nowMs - orderedAtMs < exclusivityMs(turn)) {
      ages[host] = Math.round(turn.nowMs - orderedAtMs);
    }
  }
  for (const { host } of owned.plannedHostOrders) {
    ages[host] = null;
  }
  return ages;
};

/**
 * Computes when this node may order the hosts that the previous owner ordered, since two owners
 * must not send orders to the same host within `hostOrderLeaseMs`.
 *
 * @param previous - The previous owner's last row.
 * @param seenAtMs - When that row was first seen; it was written earlier.
 * @returns The earliest time for each of these hosts.
 */
export const inheritedHostOrders = (
  turn: Turn,
  previous: OwnerRow | null,
  seenAtMs: number,
): ReadonlyMap<HostId, number> =>
  new Map(
    Object.entries(previous?.orderedHosts ?? {}).map(([host, ageMs]) => [
      host as HostId,
      // An unsent order was sent while the previous owner's ownership was confirmed, or never.
      seenAtMs + exclusivityMs(turn) + (ageMs === null ? OWNERSHIP.CONFIRMED_MS : -ageMs),
    ]),
  );

/** Whether enough time has passed since the previous owner's last order to a host. */
export const mayOrderHost = (turn: Turn, owned: OwnedWork, host: HostId): boolean =>
  turn.nowMs >= (owned.inheritedOrders.get(host) ?? -Infinity);

/** Returns the availability zone of a host; null if neither a list nor its worker tells. */
export const zoneOfHost = (turn: Turn, owned: OwnedWork, host: HostId): AvailabilityZoneId | null =>
  owned.hosts.get(host)?.availabilityZone ??
  workerOn(turn, owned, host)?.report.availabilityZone ??
  null;

/** Whether a host is in a zone that is being evacuated, so that it must not change its pool. */
export const isHostEvacuated = (turn: Turn, owned: OwnedWork, host: HostId): boolean => {
  const { evacuations } = turn.work;
  const zone = evacuations.requests.size === 0 ? null : zoneOfHost(turn, owned, host);
  return zone !== null && isEvacuated(evacuations, zone);
};
