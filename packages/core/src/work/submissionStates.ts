import { SUBMISSION_STATE } from "./constants.js";
import type { OwnedWork, Submission } from "./state.js";
import type { SubmissionState } from "./types.js";

/** Counts a submission among those that have not begun, while it is one. */
export const countQueued = (
  owned: OwnedWork,
  { state, handIn }: Submission,
  sign: 1 | -1,
): void => {
  if (state === SUBMISSION_STATE.QUEUED) {
    const { queue } = handIn;
    const count = (owned.queuedCounts.get(queue) ?? 0) + sign;
    if (count === 0) {
      owned.queuedCounts.delete(queue);
    } else {
      owned.queuedCounts.set(queue, count);
    }
  }
};

/** Puts a submission into a state, and keeps the count of those that have not begun. */
export const enterState = (
  owned: OwnedWork,
  submission: Submission,
  state: SubmissionState,
): void => {
  countQueued(owned, submission, -1);
  submission.state = state;
  countQueued(owned, submission, 1);
};
