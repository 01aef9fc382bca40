import { isWeak } from "./claimDelay.js";
import { OWNERSHIP } from "./constants.js";
import type { OwnedWork, WorkloadState } from "./state.js";
import { logLine, wakeAfter, type Turn } from "./turn.js";

/** @returns How long a weak owner keeps the work before it gives it back. */
const keepsMs = ({ yieldsBefore }: OwnedWork): number =>
  Math.min(OWNERSHIP.MOST_YIELD_MS, OWNERSHIP.YIELD_MS * 2 ** yieldsBefore);

/**
 * Gives the work of a weak owner back now and then, so that a strong node which has come back can
 * take it. Where there is none, another weak one takes it, and keeps it for longer.
 */
export const considerYield = (turn: Turn, owned: OwnedWork): void => {
  if (owned.yielding || !owned.active || !isWeak(turn.work)) {
    return;
  }
  if (turn.nowMs - owned.takenAtMs >= keepsMs(owned)) {
    owned.yielding = true;
    wakeAfter(turn, 1);
    logLine(turn, "info", "owner.yielding", {
      fence: Number(owned.fence),
      processorMilli: turn.work.processorMilli,
      yieldsBefore: owned.yieldsBefore,
    });
  }
};

/** @returns How often in a row the work was given back, for the owner's row. */
export const yieldsOf = (work: WorkloadState, { yielding, yieldsBefore }: OwnedWork): number =>
  isWeak(work) ? yieldsBefore + (yielding ? 1 : 0) : 0;
