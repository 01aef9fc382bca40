import { assertNever } from "@heatherferry/common";
import type { Effect } from "./effect.js";
import type { Event } from "./event.js";
import { refreshHostView } from "./fleet/hostView.js";
import { reduceFleet, writeSettledFleet } from "./fleet/reduceFleet.js";
import { rowsChangedFleet } from "./fleet/rowsChangedFleet.js";
import { writeSettledLimits } from "./limits/escrowWrites.js";
import { rowsChangedLimits, rulesChangedLimits } from "./limits/holdings.js";
import { reduceLimits } from "./limits/reduceLimits.js";
import {
  reduceMembership,
  refreshMembers,
  rowsChangedMembership,
  writeSettledMembership,
} from "./membership/reduceMembership.js";
import { reducePeers } from "./peers/reducePeers.js";
import { reducePlatform } from "./platform/reducePlatform.js";
import type { TableRow, WriteOutcome } from "./platform/types.js";
import { defaultPolicies, type Policies } from "./policies/policies.js";
import { recheckWaitingPools, rulesChangedQueues } from "./queues/poolQueues.js";
import { startReady } from "./requests/dispatch.js";
import { reduceRequests } from "./requests/reduceRequests.js";
import { rowsChangedRevisions } from "./revisions/reduceRevisions.js";
import { divideSlots, endEjections, rowsChangedRouting } from "./routing/targets.js";
import type { State } from "./state.js";
import { writeSettledClaims } from "./tickets/claims.js";
import { reduceTickets } from "./tickets/reduceTickets.js";
import { rowsChangedWaves } from "./waves/rowsChangedWaves.js";
import { reduceWork } from "./work/reduceWork.js";

/** Advances the clock of the state; an event with an earlier time does not set it back. */
const advanceClock = (state: State, event: Event): void => {
  state.nowMs = Math.max(state.nowMs, event.atMs);
};

const reduceNode = (state: State, event: Event): void => {
  if (event.type === "node/shutdownRequested") {
    state.node.leavingSinceMs ??= state.nowMs;
  }
};

/** Applies changed rows of the mirror to the slices that derive state from them. */
const applyRows = (state: State, rows: readonly TableRow[], effects: Effect[]): void => {
  if (rows.length === 0) {
    return;
  }
  if (rowsChangedRevisions(state, rows, effects)) {
    rulesChangedQueues(state);
    rulesChangedLimits(state);
  }
  rowsChangedMembership(state, rows, effects);
  rowsChangedFleet(state, rows);
  rowsChangedWaves(state, rows);
  rowsChangedRouting(state, rows);
  rowsChangedLimits(state, rows);
};

/** Passes the outcome of a table write to the slice that requested the write. */
const handleWriteOutcome = (state: State, outcome: WriteOutcome, effects: Effect[]): void => {
  switch (outcome.purpose) {
    case "membership":
      writeSettledMembership(state, outcome);
      return;
    case "escrow":
      writeSettledLimits(state, outcome);
      return;
    case "claim":
      writeSettledClaims(state, outcome, effects);
      return;
    case "fleet":
    case "wave":
    case "lease":
      writeSettledFleet(state, outcome, effects);
      return;
    default:
      assertNever(outcome.purpose);
  }
};

const handleTick = (state: State): void => {
  if (refreshMembers(state)) {
    divideSlots(state);
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
