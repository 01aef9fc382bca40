import type { Member } from "../membership/types.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { tableNowMs, viewAgeMs } from "../platform/mirror.js";
import { rowKeyOf } from "../platform/writes.js";
import type { State } from "../state.js";

/**
 * Returns the minimum time since an entry host's last heartbeat, on the table's clock.
 *
 * @param state - The state of a maintainer.
 * @param member - An entry host.
 * @returns The time in ms as of the newest view; 0 before the table's clock is known.
 */
export const heartbeatAgeMs = (state: State, member: Member): number => {
  const tableTimeMs = tableNowMs(state);
  if (tableTimeMs === null) {
    return 0;
  }
  const asOfMs = tableTimeMs - viewAgeMs(state, rowKeyOf(ROW_PREFIX.MEMBER));
  return Math.max(0, asOfMs - member.committedAtMs);
};
