import { queueById } from "../store/catalog.js";
import { ITEM_PHASE, SUBMISSION_STATE } from "../constants.js";
import { markDirty } from "./dirtySubmissions.js";
import { addFailedRun, forgetFailedRuns } from "./failedRuns.js";
import { holdEnded } from "./heldSubmissions.js";
import { noteBookedRuns } from "./idleSubmissions.js";
import { isOccurrenceDone } from "./occurrences.js";
import { closeAllItems, closeItem, isUnblocked, makeReady, unblockSteps } from "./openItems.js";
import { clearReady, removeReady } from "./readyItems.js";
import { stopRun } from "../workers/runs.js";
import type { Item, Occurrence, OwnedWork, Submission } from "../state.js";
import { enterState, hasEnded } from "./submissionStates.js";
import { logLine, roundedMs, type Turn } from "../turn.js";
import type { SubmissionRow, SubmissionId, SubmissionState } from "../types.js";
import { releaseCapacity } from "../workers/workerResources.js";

const lastOccurrence = (submission: Submission): Occurrence | undefined =>
  submission.occurrences.get(submission.createdOccurrences - 1);

/** Ends a submission: starts no further items and stops those that run. */
export const endSubmission = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  state: SubmissionState,
  reason: string,
): void => {
  enterState(owned, submission, state);
  submission.endedWallMs = Math.round(turn.wallMs);
  clearReady(submission);
  owned.scheduledSubmissions.delete(submission);
  markDirty(owned, submission);
  for (const occurrence of submission.occurrences.values()) {
    for (const item of occurrence.steps.flatMap((items) => items.items())) {
      releaseCapacity(owned, item);
      if (item.run !== null) {
        stopRun(turn, owned, item.run, reason);
      }
    }
  }
  logLine(turn, "info", "submission.ended", {
    submission: submission.row.id,
    state,
    reason,
    lateMs: roundedMs(turn.nowMs - (lastOccurrence(submission)?.dueAtMs ?? Infinity)),
  });
  closeAllItems(owned, submission);
  noteBookedRuns(turn, owned, submission);
  holdEnded(owned, submission);
};

/**
 * Ends a submission whose cancel has been stored. The cancel of an unknown one is remembered: an
 * earlier version of this system stores a hand-in although the store holds a cancel of it.
 */
export const cancelSubmission = (turn: Turn, id: SubmissionId): void => {
  const { owned } = turn.work;
  if (owned === null) {
    return;
  }
  const submission = owned.submissions.get(id);
  if (submission === undefined) {
    owned.unmatchedCancels.set(id, owned.unmatchedCancels.get(id) ?? turn.nowMs);
    return;
  }
  if (hasEnded(submission.state)) {
    return;
  }
  submission.cancelled = true;
  endSubmission(turn, owned, submission, SUBMISSION_STATE.CANCELLED, "cancelled");
};

/**
 * Marks an item as done, which is final once it is persisted. Stops another run of the item that
 * was started when this one was presumed lost.
 *
 * @param run - Number of the run that completed the item.
 */
export const itemDone = (turn: Turn, owned: OwnedWork, item: Item, run: number): void => {
  const { submission } = item;
  if (item.run !== null && item.run.number !== run) {
    stopRun(turn, owned, item.run, "the item is done");
  }
  const occurrence = submission.occurrences.get(item.occurrence);
  const items = occurrence?.steps[item.step];
  if (occurrence === undefined || items === undefined || item.phase === ITEM_PHASE.DONE) {
    return;
  }
  item.phase = ITEM_PHASE.DONE;
  removeReady(item);
  forgetFailedRuns(item);
  closeItem(owned, items, item);
  const number = submission.layout.numberOf(item);
  if (number !== null) {
    submission.done.add(number);
  }
  markDirty(owned, submission);
  unblockSteps(turn, owned, submission, occurrence);
  if (isOccurrenceDone(occurrence)) {
    occurrenceDone(turn, owned, submission, occurrence);
  }
};

const occurrenceDone = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  { number }: Occurrence,
): void => {
  submission.doneOccurrences += 1;
  if (submission.doneOccurrences === Math.max(1, submission.row.work.occurrences)) {
    endSubmission(turn, owned, submission, SUBMISSION_STATE.COMPLETED, "all items are done");
  } else {
    submission.occurrences.delete(number);
  }
};

/** Returns how many runs of an item of a submission may fail; Infinity if that is not known. */
const maxAttemptsOf = (turn: Turn, { queue, maxAttempts }: SubmissionRow): number =>
  queueById(turn.work, queue)?.maxAttempts ?? maxAttempts ?? Infinity;

/** Records a failed run. The submission fails once the queue's limit of attempts is reached. */
export const itemFailed = (turn: Turn, owned: OwnedWork, item: Item, run: number): void => {
  const { submission, spec } = item;
  if (hasEnded(submission.state) || item.phase === ITEM_PHASE.DONE || item.failedRuns.has(run)) {
    return;
  }
  if (!spec.lasting) {
    addFailedRun(item, run);
    markDirty(owned, submission);
    if (item.failedRuns.size >= maxAttemptsOf(turn, submission.row)) {
      endSubmission(turn, owned, submission, SUBMISSION_STATE.FAILED, `item ${item.key} failed`);
      return;
    }
  }
  requeueItem(turn, owned, item);
};

/** Requeues an item that has no run left; it stays blocked until the steps before it are done. */
export const requeueItem = (turn: Turn, owned: OwnedWork, item: Item): void => {
  const { submission } = item;
  if (item.run !== null || hasEnded(submission.state) || item.phase === ITEM_PHASE.DONE) {
    return;
  }
  const occurrence = submission.occurrences.get(item.occurrence);
  if (occurrence !== undefined && isUnblocked(occurrence, item.spec)) {
    makeReady(turn, owned, item);
  } else {
    item.phase = ITEM_PHASE.BLOCKED;
  }
};

/** Marks a submission as running when its first item has started. */
export const itemStarted = (owned: OwnedWork, submission: Submission): void => {
  if (submission.state === SUBMISSION_STATE.QUEUED) {
    enterState(owned, submission, SUBMISSION_STATE.RUNNING);
    submission.backlog?.markChanged(submission);
    markDirty(owned, submission);
  }
};
