import { LOG_CLASS, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { Policies } from "../policies/policies.js";
import type { State } from "../state.js";
import { rebootedHostWrite, failedHostWrite, nextWaveWrite } from "../waves/waveSteps.js";
import { HOST_PHASE } from "./constants.js";
import type { FleetWrite } from "./fleetWrites.js";
import { hostKey } from "./keys.js";
import { hostsOutOfService } from "./permits.js";
import { finalRebootResult } from "./reboots.js";
import { mayStop } from "./hostStops.js";
import type { HostRow } from "./types.js";

const stopHost = (host: HostRow, effects: Effect[]): FleetWrite => {
  const { hostId, pool, drainEpoch } = host;
  const fields = { hostId, pool, drainEpoch };
  effects.push({
    type: "log/write",
    level: "info",
    event: "host.stopOrdered",
    fields,
    lineClass: LOG_CLASS.ROUTINE,
  });
  const key = hostKey(host.availabilityZone, hostId);
  return { puts: [{ key, body: { ...host, phase: HOST_PHASE.STOPPED } }] };
};

const nextHostWrite = (state: State, host: HostRow, effects: Effect[]): FleetWrite | null => {
  if (host.phase === HOST_PHASE.LEAVING) {
    return mayStop(state, host) ? stopHost(host, effects) : null;
  }
  const result = finalRebootResult(state, host);
  if (result === "rebooted") {
    return rebootedHostWrite(state, host);
  }
  return result === "failed" ? failedHostWrite(state, host, effects) : null;
};

/**
 * Decides the next transaction for a pool. Transactions are written one at a time, so that each
 * is decided on the outcome of the previous one.
 *
 * @param state - The state to read.
 * @param pool - A pool whose lease is held.
 * @param policies - The node's policies.
 * @param effects - Receives log lines.
 * @returns The transaction, or null when there is nothing to do.
 */
export const nextPoolWrite = (
  state: State,
  pool: PoolId,
  policies: Policies,
  effects: Effect[],
): FleetWrite | null => {
  for (const host of hostsOutOfService(state, pool)) {
    const write = nextHostWrite(state, host, effects);
    if (write !== null) {
      return write;
    }
  }
  return nextWaveWrite(state, pool, policies.waveOrder, effects);
};
