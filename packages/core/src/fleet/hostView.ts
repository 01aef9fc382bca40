import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import { MEMBERSHIP } from "../membership/constants.js";
import { NODE_ROLE } from "../node/constants.js";
import type { State } from "../state.js";
import { HOST_VIEW } from "./constants.js";

const validUntilMs = (state: State): number => {
  const { firstHeartbeatVersion } = state.fleet;
  const prefix = rowKeyOf(ROW_PREFIX.HOST, state.node.identity.availabilityZone, "/");
  const range = state.platform.ranges.get(prefix);
  if (firstHeartbeatVersion === null || range === undefined || range.confirmedAtMs === null) {
    return 0;
  }
  if (range.upToVersion < firstHeartbeatVersion) {
    return 0;
  }
  const heartbeatSentAtMs = state.membership.sessionUntilMs - MEMBERSHIP.SESSION_TERM_MS;
  return Math.min(range.confirmedAtMs, heartbeatSentAtMs) + HOST_VIEW.TTL_MS;
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
    state.fleet.hostViewValidUntilMs = validUntilMs(state);
  }
};

/**
 * Whether this entry host's view of the host rows allows it to start work on targets.
 *
 * @param state - The state to read.
 * @returns False before the first usable view, and once the view has expired.
 */
export const isHostViewValid = (state: State): boolean =>
  state.nowMs < state.fleet.hostViewValidUntilMs;
