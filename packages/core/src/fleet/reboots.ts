import { LOG_CLASS, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { WriteOutcome } from "../platform/types.js";
import type { State } from "../state.js";
import { DRAIN_REASON, FLEET, HOST_PHASE } from "./constants.js";
import { holdsLease } from "./leases.js";
import { hostsOutOfService } from "./permits.js";
import type { FleetEvent, HostRow, RebootOrder } from "./types.js";

const isToReboot = (host: HostRow): boolean =>
  host.phase === HOST_PHASE.STOPPED && host.drainReason === DRAIN_REASON.WAVE;

const give = (state: State, host: HostRow, settledAtMs: number, effects: Effect[]): void => {
  const { hostId, drainEpoch } = host;
  state.fleet.orders.set(hostId, { drainEpoch, attempts: 1, result: "awaited", settledAtMs });
  effects.push({ type: "host/reboot", hostId });
  const fields = { hostId, pool: host.pool, drainEpoch };
  effects.push({
    type: "log/write",
    level: "info",
    event: "host.rebootOrdered",
    fields,
    lineClass: LOG_CLASS.ROUTINE,
  });
};

/**
 * Orders the reboot of a host whose stop this maintainer has just written: no other can have
 * ordered it yet.
 *
 * @param state - The state to change.
 * @param outcome - How a write ended.
 * @param effects - Receives the effects.
 */
export const rebootStopped = (state: State, outcome: WriteOutcome, effects: Effect[]): void => {
  for (const { body } of outcome.write.puts) {
    if (body.type === "host" && isToReboot(body) && holdsLease(state, body.pool)) {
      if (state.fleet.orders.get(body.hostId)?.result !== "awaited") {
        give(state, body, state.nowMs, effects);
      }
    }
  }
};

const wasGivenUp = (state: State, host: HostRow): boolean =>
  host.waveId !== null &&
  (state.waves.waves.get(host.waveId)?.failed.includes(host.hostId) ?? false);

/** Orders of earlier holders were given before this one got the lease. */
const inheritedSettledAtMs = (state: State, pool: PoolId): number =>
  (state.fleet.leases.get(pool)?.acquiredAtMs ?? state.nowMs) + FLEET.ORDER_SETTLE_MS;

/**
 * Orders the reboots that an earlier holder of the lease may or may not have ordered.
 *
 * @param state - The state to change.
 * @param pool - A pool whose lease is held.
 * @param effects - Receives the effects.
 */
export const rebootInherited = (state: State, pool: PoolId, effects: Effect[]): void => {
  for (const host of hostsOutOfService(state, pool)) {
    const order = state.fleet.orders.get(host.hostId);
    const known = order?.drainEpoch === host.drainEpoch;
    const open = !known && order?.result !== "awaited" && !wasGivenUp(state, host);
    if (isToReboot(host) && open) {
      give(state, host, inheritedSettledAtMs(state, pool), effects);
    }
  }
};

/**
 * Forgets that orders under a lost lease need no waiting time: others may have ordered since.
 *
 * @param state - The state to change.
 * @param pool - The pool whose lease was taken anew.
 */
export const distrustOrders = (state: State, pool: PoolId): void => {
  for (const { hostId } of hostsOutOfService(state, pool)) {
    const order = state.fleet.orders.get(hostId);
    if (order !== undefined) {
      order.settledAtMs = state.nowMs + FLEET.ORDER_SETTLE_MS;
    }
  }
};

const retry = (state: State, host: HostRow, order: RebootOrder, effects: Effect[]): void => {
  order.attempts += 1;
  order.result = "awaited";
  // The first order may still be on its way: its answer alone was lost.
  order.settledAtMs = state.nowMs + FLEET.ORDER_SETTLE_MS;
  effects.push({ type: "host/reboot", hostId: host.hostId });
};

/**
 * @param state - The state to change.
 * @param event - How a reboot ended.
 * @param effects - Receives the effects.
 */
export const onRebootEnded = (
  state: State,
  event: Extract<FleetEvent, { type: "host/rebooted" | "host/rebootFailed" }>,
  effects: Effect[],
): void => {
  const order = state.fleet.orders.get(event.hostId);
  const host = state.fleet.hosts.get(event.hostId);
  if (order === undefined || host === undefined) {
    return;
  }
  if (event.type === "host/rebooted") {
    order.result = "rebooted";
    return;
  }
  const fields = { hostId: event.hostId, reason: event.reason, attempts: order.attempts };
  effects.push({
    type: "log/write",
    level: "warn",
    event: "host.rebootFailed",
    fields,
    lineClass: LOG_CLASS.ROUTINE,
  });
  if (order.attempts < FLEET.REBOOT_ATTEMPTS && holdsLease(state, host.pool)) {
    retry(state, host, order, effects);
  } else {
    order.result = "failed";
  }
};

/**
 * @param state - The state to read.
 * @param host - A host out of service.
 * @returns How its reboot ended for good, or null while that is open.
 */
export const rebootResult = (state: State, host: HostRow): "rebooted" | "failed" | null => {
  const order = state.fleet.orders.get(host.hostId);
  if (!isToReboot(host) || order?.drainEpoch !== host.drainEpoch) {
    return null;
  }
  if (order.result === "awaited" || state.nowMs < order.settledAtMs) {
    return null;
  }
  return order.result;
};
