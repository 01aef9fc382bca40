import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { NODE_ROLE } from "../node/constants.js";
import type { State } from "../state.js";
import { abortUncoveredAttempts } from "./coverage.js";
import { refreshDemand } from "./demand.js";
import { beginEscrowWriteWhenDue, writeEscrowAfterRead } from "./escrowWrites.js";

/**
 * Adjusts this entry host's grants to its demand.
 *
 * @param state - The state to change.
 * @param event - Any event.
 * @param effects - Receives the effects.
 */
export const reduceLimits = (state: State, event: Event, effects: Effect[]): void => {
  if (state.node.identity.role !== NODE_ROLE.ENTRY) {
    return;
  }
  if (event.type === "clock/ticked") {
    refreshDemand(state);
    abortUncoveredAttempts(state, effects);
    beginEscrowWriteWhenDue(state);
  }
  if (event.type === "table/readCompleted" && event.tableTimeMs !== null) {
    state.limits.tableLatestOffsetMs = event.tableTimeMs - event.sentAtMs;
    writeEscrowAfterRead(state, event.sentAtMs, effects);
  }
};
