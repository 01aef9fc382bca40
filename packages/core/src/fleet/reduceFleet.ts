import type { PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { NODE_ROLE } from "../node/constants.js";
import type { WriteOutcome } from "../platform/types.js";
import type { Policies } from "../policies/policies.js";
import type { State } from "../state.js";
import { FLEET, FLEET_LEASE } from "./constants.js";
import { submitFleetWrite } from "./fleetWrites.js";
import { requestHostListWhenDue, nextHostListWrite, handleHostList } from "./hostList.js";
import {
  holdsLease,
  hasWriteInFlight,
  releaseLeases,
  stepLeases,
  handleLeaseWriteOutcome,
} from "./leases.js";
import { nextPoolWrite } from "./poolSteps.js";
import {
  expectDuplicateReboots,
  handleRebootResult,
  rebootInheritedHosts,
  rebootStoppedHosts,
} from "./reboots.js";

const stepPool = (state: State, pool: PoolId, policies: Policies, effects: Effect[]): void => {
  if (hasWriteInFlight(state, pool) || !holdsLease(state, pool)) {
    return;
  }
  if (pool !== FLEET_LEASE) {
    rebootInheritedHosts(state, pool, effects);
  }
  const write =
    pool === FLEET_LEASE
      ? nextHostListWrite(state, effects)
      : nextPoolWrite(state, pool, policies, effects);
  if (write !== null) {
    submitFleetWrite(state, pool, write, effects);
  }
};

const stepSettled = (state: State, policies: Policies, effects: Effect[]): void => {
  const settled = [...state.fleet.poolsWithSettledWrite];
  state.fleet.poolsWithSettledWrite.clear();
  for (const pool of settled) {
    stepPool(state, pool, policies, effects);
  }
};

const stepAll = (state: State, policies: Policies, effects: Effect[]): void => {
  state.fleet.nextStepAtMs = state.nowMs + FLEET.STEP_INTERVAL_MS;
  state.fleet.poolsWithSettledWrite.clear();
  stepLeases(state, effects);
  for (const pool of state.fleet.leases.keys()) {
    stepPool(state, pool, policies, effects);
  }
  requestHostListWhenDue(state, effects);
};

const shutDown = (state: State, startedAtMs: number, effects: Effect[]): void => {
  const { fleet } = state;
  releaseLeases(state, effects);
  const allReleased = fleet.leases.size === 0 && fleet.writesInFlight.size === 0;
  if (allReleased || state.nowMs - startedAtMs >= FLEET.SHUTDOWN_MAX_MS) {
    effects.push({ type: "node/exit" });
  }
};

const onTick = (state: State, policies: Policies, effects: Effect[]): void => {
  const { shutdownStartedAtMs } = state.node;
  if (shutdownStartedAtMs !== null) {
    shutDown(state, shutdownStartedAtMs, effects);
  } else if (state.nowMs >= state.fleet.nextStepAtMs) {
    stepAll(state, policies, effects);
  } else {
    stepSettled(state, policies, effects);
  }
};

/**
 * Reduces events of a maintainer: leases, the platform's host list, drains, reboots and waves.
 *
 * @param state - The state to change.
 * @param event - Any event.
 * @param policies - The node's policies.
 * @param effects - Receives the effects.
 */
export const reduceFleet = (
  state: State,
  event: Event,
  policies: Policies,
  effects: Effect[],
): void => {
  if (state.node.identity.role !== NODE_ROLE.MAINTAINER) {
    return;
  }
  switch (event.type) {
    case "clock/ticked":
      onTick(state, policies, effects);
      return;
    case "hosts/listed":
    case "hosts/listFailed":
      handleHostList(state, event);
      return;
    case "host/rebooted":
    case "host/rebootFailed":
      handleRebootResult(state, event, effects);
      return;
    default:
      return;
  }
};

/**
 * Applies the outcome of a write of a lease or of fleet rows.
 *
 * @param state - The state to change.
 * @param outcome - The outcome of the write.
 * @param effects - Receives the effects.
 */
export const handleFleetWriteOutcome = (
  state: State,
  outcome: WriteOutcome,
  effects: Effect[],
): void => {
  const { fleet } = state;
  const pool = fleet.writesInFlight.get(outcome.write.writeId);
  fleet.writesInFlight.delete(outcome.write.writeId);
  if (pool !== undefined) {
    fleet.poolsWithSettledWrite.add(pool);
  }
  if (outcome.purpose === "lease") {
    const epochBefore = pool === undefined ? undefined : fleet.leases.get(pool)?.epoch;
    handleLeaseWriteOutcome(state, outcome, effects);
    if (pool !== undefined && fleet.leases.get(pool)?.epoch !== epochBefore) {
      expectDuplicateReboots(state, pool);
    }
  } else if (outcome.result === "committed") {
    rebootStoppedHosts(state, outcome, effects);
  }
};
