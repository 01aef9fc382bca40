import { PROGRESS } from "../constants.js";
import type { Item, Submission } from "../state.js";

const runBytes = (item: Item): number =>
  item.failedRuns.size === 0
    ? 0
    : PROGRESS.FAILED_ITEM_BYTES + (item.failedRuns.size - 1) * PROGRESS.FAILED_RUN_BYTES;

/** Records that a run of an item has failed. */
export const addFailedRun = (item: Item, run: number): void => {
  const { submission } = item;
  submission.failureBytes -= runBytes(item);
  item.failedRuns.add(run);
  submission.failureBytes += runBytes(item);
  submission.failing.add(item);
};

/** Forgets the failed runs of an item that is done. */
export const forgetFailedRuns = (item: Item): void => {
  if (item.submission.failing.delete(item)) {
    item.submission.failureBytes -= runBytes(item);
  }
};

/**
 * Whether the progress row has room for another failed run of each item of a submission that runs,
 * and of an item that is to start. Items that have failed go on while others wait, the one that
 * failed first in any case, so that the row gets shorter or the submission ends.
 *
 * @param count - Number of items that start together.
 */
export const hasRoomForFailure = (submission: Submission, item: Item, count: number): boolean => {
  const { failing, failureBytes, bookedRuns } = submission;
  if (item.failedRuns.size === 0) {
    const bytes = failureBytes + (bookedRuns + count) * PROGRESS.FAILED_ITEM_BYTES;
    return bytes <= PROGRESS.MAX_FAILURE_BYTES;
  }
  const [first] = failing;
  const bytes = failureBytes + (bookedRuns + count) * PROGRESS.FAILED_RUN_BYTES;
  return item === first || bytes <= PROGRESS.MAX_REPEATED_FAILURE_BYTES;
};
