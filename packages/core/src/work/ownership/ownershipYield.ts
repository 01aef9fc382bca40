import { isUnderpowered } from "./claimDelay.js";
import { OWNERSHIP } from "../constants.js";
import type { OwnedWork, WorkloadState } from "../state.js";
import { logLine, wakeAfter, type Turn } from "../turn.js";

/** Returns how long an underpowered owner keeps ownership; it doubles with each yield in a row. */
const maxTenureMs = ({ previousYields }: OwnedWork): number =>
  Math.min(OWNERSHIP.MAX_YIELD_AFTER_MS, OWNERSHIP.YIELD_AFTER_MS * 2 ** previousYields);

/**
 * Starts to release the ownership of an underpowered owner at the end of its tenure, so that a node
 * with more processor time can claim it. If there is none, another underpowered node claims it and
 * keeps it for longer.
 */
export const yieldIfDue = (turn: Turn, owned: OwnedWork): void => {
  if (owned.yielding || !owned.active || !isUnderpowered(turn.work)) {
    return;
  }
  if (turn.nowMs - owned.acquiredAtMs >= maxTenureMs(owned)) {
    owned.yielding = true;
    wakeAfter(turn, 1);
    logLine(turn, "info", "owner.yielding", {
      fence: Number(owned.fence),
      processorMilli: turn.work.processorMilli,
      yieldsBefore: owned.previousYields,
    });
  }
};

/** Returns how often in a row underpowered owners yielded ownership, for the owner row. */
export const yieldCount = (work: WorkloadState, { yielding, previousYields }: OwnedWork): number =>
  isUnderpowered(work) ? previousYields + (yielding ? 1 : 0) : 0;
