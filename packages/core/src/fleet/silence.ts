import type { Member } from "../membership/types.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { tableNowMs, viewAgeMs } from "../platform/mirror.js";
import { rowKeyOf } from "../platform/writes.js";
import type { State } from "../state.js";

/**
 * @param state - The state of a maintainer.
 * @param member - An entry host.
 * @returns Least time that passed without a heartbeat on the table's clock, in ms, as of the
 *   newest view.
 */
export const silentForMs = (state: State, member: Member): number => {
  const tableTimeMs = tableNowMs(state);
  if (tableTimeMs === null) {
    return 0;
  }
  const asOfMs = tableTimeMs - viewAgeMs(state, rowKeyOf(ROW_PREFIX.MEMBER));
  return Math.max(0, asOfMs - member.committedAtMs);
};
