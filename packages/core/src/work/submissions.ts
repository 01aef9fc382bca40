import { takeToken } from "./tokenBucket.js";
import { queueById, teamById } from "./catalog.js";
import { ITEM_PHASE, ITEM_WINDOW, SUBMISSION_STATE } from "./constants.js";
import { markDirty } from "./dirtySubmissions.js";
import { criticalPathsMs } from "./criticalPaths.js";
import { DoneItems } from "./doneItems.js";
import { addFailedRun, forgetFailedRuns } from "./failedRuns.js";
import { noteBookedRuns } from "./idleSubmissions.js";
import { findItem } from "./itemLookup.js";
import { recordArrival } from "./arrivals.js";
import { isOccurrenceDone, lastPersistedOccurrence, makeOccurrence } from "./occurrences.js";
import {
  closeAllItems,
  closeItem,
  isUnblocked,
  itemForRun,
  makeReady,
  unblockSteps,
  UnopenedSteps,
} from "./openItems.js";
import { poolOf } from "./pools.js";
import { ProgressLayout } from "./progressLayout.js";
import { releaseCapacity } from "./workerResources.js";
import { countQueued, enterState, hasEnded, poolOfSubmission } from "./submissionStates.js";
import { clearReady, removeReady } from "./readyItems.js";
import { stopRun } from "./runs.js";
import type { Item, Occurrence, OwnedWork, Submission } from "./state.js";
import { logLine, roundedMs, type Turn } from "./turn.js";
import type {
  ItemKey,
  SubmissionRow,
  Progress,
  StoreVersion,
  SubmissionId,
  SubmissionState,
} from "./types.js";

/** Whether an occurrence lies too far ahead of the first item that is not done. */
const isBeyondWindow = ({ layout, done }: Submission, number: number): boolean =>
  number * layout.itemsPerOccurrence >= done.firstOpen + ITEM_WINDOW.MAX_SPAN;

/**
 * Creates the occurrences that are due and those that a previous owner has started.
 *
 * @param lastStarted - Number of the last occurrence that has begun, or -1. The wall clocks of nodes
 *   differ, so it may lie in the future on this node.
 */
export const makeDueOccurrences = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  lastStarted: number,
): void => {
  const { work } = submission.row;
  const total = Math.max(1, work.occurrences);
  while (submission.createdOccurrences < total && !hasEnded(submission.state)) {
    const number = submission.createdOccurrences;
    const dueWallMs = work.occurrences === 0 ? 0 : work.firstDueWallMs + number * work.intervalMs;
    const waits = turn.wallMs < dueWallMs || isBeyondWindow(submission, number);
    if (waits && number > lastStarted) {
      owned.scheduledSubmissions.add(submission);
      return;
    }
    submission.createdOccurrences += 1;
    const occurrence = makeOccurrence(turn, submission, number);
    if (isOccurrenceDone(occurrence)) {
      submission.doneOccurrences += 1;
    } else {
      submission.occurrences.set(number, occurrence);
      unblockSteps(turn, owned, submission, occurrence);
    }
  }
  owned.scheduledSubmissions.delete(submission);
};

/** Restores the failed runs that previous owners recorded. */
const restoreFailures = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  failures: Progress["failures"],
): void => {
  for (const [place, runs] of Object.entries(failures)) {
    const key = `${submission.row.id}.${place}` as ItemKey;
    const item = findItem(owned, key) ?? itemForRun(turn, owned, key);
    for (const run of item === null ? [] : runs) {
      if (item !== null) {
        addFailedRun(item, run);
        item.lastRun = Math.max(item.lastRun, run);
      }
    }
  }
};

const exceedsRate = (turn: Turn, owned: OwnedWork, row: SubmissionRow): boolean => {
  const team = teamById(turn.work, row.team);
  if (team === null) {
    return false;
  }
  let bucket = owned.tokenBuckets.get(team.id);
  if (bucket === undefined) {
    bucket = { tokens: team.weight, refilledAtMs: turn.nowMs };
    owned.tokenBuckets.set(team.id, bucket);
  }
  return !takeToken(bucket, team.weight, turn.nowMs);
};

/**
 * Adds a stored submission to the owner's state, unless it is there already.
 *
 * @param inherited - Whether it was stored before this node acquired ownership, so that items of it
 *   may be running.
 * @param progress - Its persisted progress, if any.
 */
export const adoptSubmission = (
  turn: Turn,
  row: SubmissionRow,
  version: StoreVersion,
  inherited: boolean,
  progress: Progress | null = null,
): void => {
  const { owned } = turn.work;
  if (owned === null || owned.pendingLoads.size > 0 || owned.submissions.has(row.id)) {
    return;
  }
  const state = progress?.state ?? SUBMISSION_STATE.QUEUED;
  const layout = new ProgressLayout(row.work);
  const done = DoneItems.restore(layout, progress);
  const doneOccurrences = layout.isFinite
    ? Math.floor(done.firstOpen / layout.itemsPerOccurrence)
    : 0;
  const submission: Submission = {
    row,
    version,
    layout,
    inherited,
    done,
    unopened: new UnopenedSteps(),
    openCount: 0,
    failing: new Set(),
    failureBytes: 0,
    bookedRuns: 0,
    overRate: !inherited && exceedsRate(turn, owned, row),
    criticalPathsMs: criticalPathsMs(row.work),
    occurrences: new Map(),
    createdOccurrences: doneOccurrences,
    doneOccurrences,
    state,
    reportedState: state,
    cancelled: state === SUBMISSION_STATE.CANCELLED,
    endedWallMs: progress?.endedWallMs ?? null,
    dirty: false,
    ready: new Set(),
    readyByStep: row.work.steps.map(() => 0),
    obstacles: new Map(),
    backlog: null,
  };
  owned.submissions.set(row.id, submission);
  noteBookedRuns(turn, owned, submission);
  countQueued(owned, submission, 1);
  if (!inherited) {
    recordArrival(turn, poolOf(owned, poolOfSubmission(turn, row)), row.work);
  }
  const recorded = owned.startedOccurrences.get(row.id) ?? -1;
  const lastStarted = Math.max(recorded, lastPersistedOccurrence(progress));
  makeDueOccurrences(turn, owned, submission, lastStarted);
  restoreFailures(turn, owned, submission, progress?.failures ?? {});
  if (owned.unmatchedCancels.delete(row.id)) {
    cancelSubmission(turn, row.id);
  }
};

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
