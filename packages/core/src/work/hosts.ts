import type { HostId } from "@heatherferry/common";
import { HOSTS, OWNERSHIP } from "./constants.js";
import type { WorkEvent } from "./events.js";
import type { OwnedWork } from "./state.js";
import type { Turn } from "./turn.js";
import type { OwnerRow } from "./types.js";

/** Asks for the list of hosts if the last one is older than this. */
export const listHosts = (turn: Turn, owned: OwnedWork, maxAgeMs: number): void => {
  const lastMs = owned.hostListSentAtMs ?? -Infinity;
  if (turn.nowMs - lastMs >= maxAgeMs) {
    owned.hostListSentAtMs = turn.nowMs;
    turn.effects.push({ type: "power/list" });
  }
};

/** Takes the list of hosts; it names all of them. */
export const hostsListed = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "power/listed" }>,
): void => {
  const known = new Map(owned.hosts);
  owned.hosts.clear();
  for (const listing of event.hosts) {
    // The list is older than an order that was sent after it was asked for.
    const orderedSince = (owned.hostOrders.get(listing.host) ?? -Infinity) >= event.sentAtMs;
    owned.hosts.set(listing.host, (orderedSince ? known.get(listing.host) : null) ?? listing);
  }
  owned.hostListAtMs = turn.nowMs;
  owned.hostViewAtMs = event.sentAtMs;
};

/** How long a host that was ordered is left alone by the next owner. */
const exclusiveMs = ({ work }: Turn): number =>
  Math.max(work.bounds.dutyLeaseMs, HOSTS.ORDER_LIFE_MS) + HOSTS.DUTY_MARGIN_MS;

/** @returns What a successor has to know of orders to hosts. */
export const orderedHosts = (turn: Turn, owned: OwnedWork): Record<HostId, number | null> => {
  const ages: Record<HostId, number | null> = {};
  for (const [host, freeAtMs] of owned.inheritedOrders) {
    if (freeAtMs > turn.nowMs) {
      ages[host] = Math.round(exclusiveMs(turn) - (freeAtMs - turn.nowMs));
    }
  }
  for (const [host, atMs] of owned.hostOrders) {
    if (turn.nowMs - atMs < exclusiveMs(turn)) {
      ages[host] = Math.round(turn.nowMs - atMs);
    }
  }
  for (const { host } of owned.plannedOrders) {
    ages[host] = null;
  }
  return ages;
};

/**
 * Two holders must not take turns at a host.
 *
 * @param seenAtMs - When the last row of the owner before was first seen; it was written earlier.
 * @returns When this node may order the hosts that the owner before ordered.
 */
export const inheritOrders = (
  turn: Turn,
  before: OwnerRow | null,
  seenAtMs: number,
): ReadonlyMap<HostId, number> =>
  new Map(
    Object.entries(before?.orderedHosts ?? {}).map(([host, ageMs]) => [
      host as HostId,
      // An order that was yet to be sent went out while its owner was sure, or not at all.
      seenAtMs + exclusiveMs(turn) + (ageMs === null ? OWNERSHIP.SURE_MS : -ageMs),
    ]),
  );

export const mayOrderHost = (turn: Turn, owned: OwnedWork, host: HostId): boolean =>
  turn.nowMs >= (owned.inheritedOrders.get(host) ?? -Infinity);
