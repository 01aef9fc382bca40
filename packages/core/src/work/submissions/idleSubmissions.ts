import type { OwnedWork, Submission } from "../state.js";
import type { StarvationReason } from "./starvation.js";
import { hasEnded } from "./submissionStates.js";
import type { Turn } from "../turn.js";

/** A submission that has not ended and of which no run is booked. */
export interface IdleSubmission {
  /** When its last run was removed, or when the owner took it on. */
  readonly sinceMs: number;
  /** Why nothing of it runs although a worker has room, as last checked; null if that is not so. */
  starvation: StarvationReason | null;
  /** The reason that was logged last. */
  loggedStarvation: StarvationReason | null;
}

/** Notes whether any run of a submission is booked, after their number or its state has changed. */
export const noteBookedRuns = (turn: Turn, owned: OwnedWork, submission: Submission): void => {
  if (submission.bookedRuns > 0 || hasEnded(submission.state)) {
    owned.idleSubmissions.delete(submission);
  } else if (!owned.idleSubmissions.has(submission)) {
    owned.idleSubmissions.set(submission, {
      sinceMs: turn.nowMs,
      starvation: null,
      loggedStarvation: null,
    });
  }
};
