import type { HostId } from "@heatherferry/common";
import { HOSTS } from "./constants.js";
import type { WorkEvent } from "./events.js";
import type { HostOrder, OwnedWork } from "./state.js";
import type { Turn } from "./turn.js";

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

/** Two holders must not take turns at a host, so orders of the owner before have to be old enough. */
export const mayOrderHost = (turn: Turn, owned: OwnedWork, host: HostId): boolean =>
  !owned.inheritedOrders.has(host) ||
  turn.nowMs - owned.takenAtMs >= turn.work.bounds.dutyLeaseMs + HOSTS.DUTY_MARGIN_MS;

/** Plans an order; it goes out once the owner's row names the host, so that a successor knows. */
export const planHostOrder = (turn: Turn, owned: OwnedWork, order: HostOrder): void => {
  owned.hostOrders.set(order.host, turn.nowMs);
  owned.plannedOrders.push(order);
};

/** Sends orders whose hosts the owner's row names now. */
export const sendHostOrders = (
  turn: Turn,
  owned: OwnedWork,
  orders: readonly HostOrder[],
): void => {
  for (const order of orders) {
    owned.hostOrders.set(order.host, turn.nowMs);
    turn.effects.push(order);
  }
};
