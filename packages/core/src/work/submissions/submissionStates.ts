import type { PoolId } from "@heatherferry/common";
import { queueById } from "../store/catalog.js";
import { SUBMISSION_STATE } from "../constants.js";
import type { OwnedWork, Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { SubmissionRow, SubmissionState } from "../types.js";

/** Returns the pool that runs a submission's work, by the current catalog. */
export const poolOfSubmission = (turn: Turn, row: SubmissionRow): PoolId =>
  queueById(turn.work, row.queue)?.pool ?? row.pool;

/** Whether a state is final. */
export const hasEnded = (state: SubmissionState): boolean =>
  state !== SUBMISSION_STATE.QUEUED && state !== SUBMISSION_STATE.RUNNING;

/**
 * Adds a submission to the count of queued ones of its queue, or removes it, if it is queued.
 *
 * @param sign - 1 to add, -1 to remove.
 */
export const countQueued = (owned: OwnedWork, { state, row }: Submission, sign: 1 | -1): void => {
  if (state === SUBMISSION_STATE.QUEUED) {
    const { queue } = row;
    const count = (owned.queuedCounts.get(queue) ?? 0) + sign;
    if (count === 0) {
      owned.queuedCounts.delete(queue);
    } else {
      owned.queuedCounts.set(queue, count);
    }
  }
};

/** Changes the state of a submission and updates the count of queued ones. */
export const enterState = (
  owned: OwnedWork,
  submission: Submission,
  state: SubmissionState,
): void => {
  countQueued(owned, submission, -1);
  submission.state = state;
  countQueued(owned, submission, 1);
};
