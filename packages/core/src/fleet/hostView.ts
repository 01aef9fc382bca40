import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import { MEMBERSHIP } from "../membership/constants.js";
import { NODE_ROLE } from "../node/constants.js";
import type { State } from "../state.js";
import { VIEW } from "./constants.js";

const validUntilMs = (state: State): number => {
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
 * Recomputes until when an entry host may start work by its view of the host rows. The view must
 * be newer than the node's own first heartbeat. A maintainer that stops a host has then either
 * received that heartbeat and waits for this node, or the drain is already in this node's view.
 *
 * @param state - The state to change.
 */
export const refreshHostView = (state: State): void => {
  if (state.node.identity.role === NODE_ROLE.ENTRY) {
    state.fleet.viewUsableUntilMs = validUntilMs(state);
  }
};

/**
 * Whether this entry host's view of the host rows allows it to start work on targets.
 *
 * @param state - The state to read.
 * @returns False before the first usable view, and once the view has expired.
 */
export const hostViewHolds = (state: State): boolean => state.nowMs < state.fleet.viewUsableUntilMs;
