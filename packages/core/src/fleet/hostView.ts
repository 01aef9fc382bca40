import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import { MEMBERSHIP } from "../membership/constants.js";
import { NODE_ROLE } from "../node/constants.js";
import type { State } from "../state.js";
import { VIEW } from "./constants.js";

const usableUntilMs = (state: State): number => {
  const { joinedAtVersion } = state.fleet;
  const prefix = rowKeyOf(ROW_PREFIX.HOST, state.node.identity.availabilityZone, "/");
  const range = state.platform.ranges.get(prefix);
  if (joinedAtVersion === null || range === undefined || range.confirmedAtMs === null) {
    return 0;
  }
  if (range.upToVersion < joinedAtVersion) {
    return 0;
  }
  const heartbeatSentAtMs = state.membership.sessionUntilMs - MEMBERSHIP.SESSION_TERM_MS;
  return Math.min(range.confirmedAtMs, heartbeatSentAtMs) + VIEW.LAPSE_MS;
};

/**
 * Judges anew how long an entry host may start work by its view of the hosts. The view has to
 * be newer than the node's own first heartbeat: a maintainer that saw a drain begin has then
 * either seen that heartbeat too, or the node's view contains the drain.
 *
 * @param state - The state to change.
 */
export const refreshHostView = (state: State): void => {
  if (state.node.identity.role === NODE_ROLE.ENTRY) {
    state.fleet.viewUsableUntilMs = usableUntilMs(state);
  }
};

/**
 * @param state - The state to read.
 * @returns Whether this entry host may start work on targets now.
 */
export const hostViewHolds = (state: State): boolean => state.nowMs < state.fleet.viewUsableUntilMs;
