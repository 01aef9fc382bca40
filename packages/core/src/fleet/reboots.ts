import { LOG_CLASS, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { WriteOutcome } from "../platform/types.js";
import type { State } from "../state.js";
import { DRAIN_REASON, FLEET, HOST_PHASE } from "./constants.js";
import { holdsLease } from "./leases.js";
import { hostsOutOfService } from "./permits.js";
import type { FleetEvent, HostRow, RebootOrder } from "./types.js";

const awaitsReboot = (host: HostRow): boolean =>
  host.phase === HOST_PHASE.STOPPED && host.drainReason === DRAIN_REASON.WAVE;

const sendRebootOrder = (
  state: State,
  host: HostRow,
  duplicatePossibleUntilMs: number,
  effects: Effect[],
): void => {
  const { hostId, drainEpoch } = host;
  state.fleet.rebootOrders.set(hostId, {
    drainEpoch,
    attempts: 1,
    result: "awaited",
    duplicatePossibleUntilMs,
  });
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
 * Orders the reboots of the hosts that a write of this maintainer has just stopped. No other
 * maintainer can have ordered them, so their results are final at once.
 *
 * @param state - The state to change.
 * @param outcome - The outcome of the write.
 * @param effects - Receives the effects.
 */
export const rebootStoppedHosts = (
  state: State,
  outcome: WriteOutcome,
  effects: Effect[],
): void => {
  for (const { body } of outcome.write.puts) {
    if (body.type === "host" && awaitsReboot(body) && holdsLease(state, body.pool)) {
      if (state.fleet.rebootOrders.get(body.hostId)?.result !== "awaited") {
        sendRebootOrder(state, body, state.nowMs, effects);
      }
    }
  }
};

const hasFailedInWave = (state: State, host: HostRow): boolean =>
  host.waveId !== null &&
  (state.waves.waves.get(host.waveId)?.failed.includes(host.hostId) ?? false);

/** Previous lease holders sent their orders before this maintainer acquired the lease. */
const inheritedDuplicatesUntilMs = (state: State, pool: PoolId): number =>
  (state.fleet.leases.get(pool)?.acquiredAtMs ?? state.nowMs) + FLEET.MAX_ORDER_DELAY_MS;

/**
 * Orders the reboots that a previous holder of the lease may or may not have ordered.
 *
 * @param state - The state to change.
 * @param pool - A pool whose lease is held.
 * @param effects - Receives the effects.
 */
export const rebootInheritedHosts = (state: State, pool: PoolId, effects: Effect[]): void => {
  for (const host of hostsOutOfService(state, pool)) {
    const order = state.fleet.rebootOrders.get(host.hostId);
    const isOrdered = order?.drainEpoch === host.drainEpoch;
    const mayOrder = !isOrdered && order?.result !== "awaited" && !hasFailedInWave(state, host);
    if (awaitsReboot(host) && mayOrder) {
      sendRebootOrder(state, host, inheritedDuplicatesUntilMs(state, pool), effects);
    }
  }
};

/**
 * Delays the results of orders that were sent under an earlier epoch of the lease: in between,
 * another maintainer may have held the lease and ordered the same reboots.
 *
 * @param state - The state to change.
 * @param pool - The pool whose lease epoch has changed.
 */
export const expectDuplicateReboots = (state: State, pool: PoolId): void => {
  for (const { hostId } of hostsOutOfService(state, pool)) {
    const order = state.fleet.rebootOrders.get(hostId);
    if (order !== undefined) {
      order.duplicatePossibleUntilMs = state.nowMs + FLEET.MAX_ORDER_DELAY_MS;
    }
  }
};

const repeatOrder = (state: State, host: HostRow, order: RebootOrder, effects: Effect[]): void => {
  order.attempts += 1;
  order.result = "awaited";
  // If only the answer of the previous order was lost, that order may still reach the host.
  order.duplicatePossibleUntilMs = state.nowMs + FLEET.MAX_ORDER_DELAY_MS;
  effects.push({ type: "host/reboot", hostId: host.hostId });
};

/**
 * Records the result of a reboot, and repeats the order after a failure until the limit of
 * attempts is reached.
 *
 * @param state - The state to change.
 * @param event - The result.
 * @param effects - Receives the effects.
 */
export const handleRebootResult = (
  state: State,
  event: Extract<FleetEvent, { type: "host/rebooted" | "host/rebootFailed" }>,
  effects: Effect[],
): void => {
  const order = state.fleet.rebootOrders.get(event.hostId);
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
    repeatOrder(state, host, order, effects);
  } else {
    order.result = "failed";
  }
};

/**
 * Returns the final result of a host's reboot.
 *
 * @param state - The state to read.
 * @param host - A host that is out of service.
 * @returns The result, or null while the reboot runs or a duplicate order may still reach the host.
 */
export const finalRebootResult = (state: State, host: HostRow): "rebooted" | "failed" | null => {
  const order = state.fleet.rebootOrders.get(host.hostId);
  if (!awaitsReboot(host) || order?.drainEpoch !== host.drainEpoch) {
    return null;
  }
  if (order.result === "awaited" || state.nowMs < order.duplicatePossibleUntilMs) {
    return null;
  }
  return order.result;
};
