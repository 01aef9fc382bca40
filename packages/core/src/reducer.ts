import { assertNever } from "@heatherferry/common";
import type { Effect } from "./effect.js";
import type { Event } from "./event.js";
import { refreshHostView } from "./fleet/hostView.js";
import { reduceFleet, handleFleetWriteOutcome } from "./fleet/reduceFleet.js";
import { applyFleetRows } from "./fleet/fleetRows.js";
import { handleLimitWriteOutcome } from "./limits/escrowWrites.js";
import { applyLimitRows, recheckAllTeams } from "./limits/holdings.js";
import { reduceLimits } from "./limits/reduceLimits.js";
import {
  reduceMembership,
  refreshMembers,
  applyMembershipRows,
  handleMembershipWriteOutcome,
} from "./membership/reduceMembership.js";
import { reducePeers } from "./peers/reducePeers.js";
import { reducePlatform } from "./platform/reducePlatform.js";
import type { TableRow, WriteOutcome } from "./platform/types.js";
import { defaultPolicies, type Policies } from "./policies/policies.js";
import { recheckWaitingPools, applyTeamShares } from "./queues/poolQueues.js";
import { startReady } from "./requests/dispatch.js";
import { reduceRequests } from "./requests/reduceRequests.js";
import { applyRevisionRows } from "./revisions/reduceRevisions.js";
import { allocateSlots, endEjections, applyRoutingRows } from "./routing/targets.js";
import type { State } from "./state.js";
import { handleClaimWriteOutcome } from "./tickets/claims.js";
import { reduceTickets } from "./tickets/reduceTickets.js";
import { applyWaveRows } from "./waves/waveRows.js";
import { reduceWork } from "./work/reduceWork.js";

/** Advances the clock of the state; an event with an earlier time does not set it back. */
const advanceClock = (state: State, event: Event): void => {
  state.nowMs = Math.max(state.nowMs, event.atMs);
};

const reduceNode = (state: State, event: Event): void => {
  if (event.type === "node/shutdownRequested") {
    state.node.shutdownStartedAtMs ??= state.nowMs;
  }
};

/** Applies changed rows of the mirror to the slices that derive state from them. */
const applyRows = (state: State, rows: readonly TableRow[], effects: Effect[]): void => {
  if (rows.length === 0) {
    return;
  }
  if (applyRevisionRows(state, rows, effects)) {
    applyTeamShares(state);
    recheckAllTeams(state);
  }
  applyMembershipRows(state, rows, effects);
  applyFleetRows(state, rows);
  applyWaveRows(state, rows);
  applyRoutingRows(state, rows);
  applyLimitRows(state, rows);
};

/** Passes the outcome of a table write to the slice that requested the write. */
const handleWriteOutcome = (state: State, outcome: WriteOutcome, effects: Effect[]): void => {
  switch (outcome.purpose) {
    case "membership":
      handleMembershipWriteOutcome(state, outcome);
      return;
    case "escrow":
      handleLimitWriteOutcome(state, outcome);
      return;
    case "claim":
      handleClaimWriteOutcome(state, outcome, effects);
      return;
    case "fleet":
    case "wave":
    case "lease":
      handleFleetWriteOutcome(state, outcome, effects);
      return;
    default:
      assertNever(outcome.purpose);
  }
};

const handleTick = (state: State): void => {
  if (refreshMembers(state)) {
    allocateSlots(state);
  }
  endEjections(state);
  refreshHostView(state);
  recheckWaitingPools(state);
};

/**
 * Makes every decision of a node: updates the state for one event and returns the effects. The
 * state is updated in place, and only the reducer writes to it. The reducer is deterministic: the
 * same events applied to the same state give the same effects.
 *
 * @param state - The state to update.
 * @param event - The event to handle.
 * @param policies - The node's policies.
 * @returns The effects to carry out, in order.
 */
export const reduce = (
  state: State,
  event: Event,
  policies: Policies = defaultPolicies(),
): readonly Effect[] => {
  const effects: Effect[] = [];
  advanceClock(state, event);
  reduceNode(state, event);
  if (state.work !== null) {
    reduceWork(state.work, event, effects);
    return effects;
  }
  const changes = reducePlatform(state, event, effects);
  applyRows(state, changes.rows, effects);
  for (const outcome of changes.outcomes) {
    handleWriteOutcome(state, outcome, effects);
  }
  if (event.type === "clock/ticked") {
    handleTick(state);
  }
  reduceMembership(state, event, effects);
  reduceFleet(state, event, policies, effects);
  reducePeers(state, event, effects);
  reduceRequests(state, event, policies, effects);
  reduceTickets(state, event, effects);
  reduceLimits(state, event, effects);
  startReady(state, policies, effects);
  return effects;
};
