import type { PoolId } from "@heatherferry/common";
import { takeToken } from "./tokenBucket.js";
import { queueById, teamById } from "./catalog.js";
import { ITEM_PHASE, SUBMISSION_STATE } from "./constants.js";
import { markDirty } from "./dirtySubmissions.js";
import { criticalPathsMs } from "./criticalPaths.js";
import { recordArrival } from "./arrivals.js";
import {
  type SubmissionHistory,
  lastPersistedOccurrence,
  makeOccurrence,
  stepIsDone,
} from "./occurrences.js";
import { poolOf } from "./pools.js";
import { releaseCapacity } from "./workerResources.js";
import { countQueued, enterState } from "./submissionStates.js";
import { addReady, clearReady, removeReady } from "./readyItems.js";
import { obstacleOf } from "./obstacles.js";
import { stopRun } from "./runs.js";
import type { Item, Occurrence, OwnedWork, Submission } from "./state.js";
import { logLine, roundedMs, type Turn } from "./turn.js";
import {
  type SubmissionRow,
  type Progress,
  type StoreVersion,
  type SubmissionId,
  type SubmissionState,
} from "./types.js";

/** Returns the pool that runs a submission's work, by the current catalog. */
export const poolOfSubmission = (turn: Turn, row: SubmissionRow): PoolId =>
  queueById(turn.work, row.queue)?.pool ?? row.pool;

/** Whether a state is final. */
export const hasEnded = (state: SubmissionState): boolean =>
  state !== SUBMISSION_STATE.QUEUED && state !== SUBMISSION_STATE.RUNNING;

/** Adds an item to the backlog of its pool, where it waits for capacity. */
export const makeReady = (turn: Turn, owned: OwnedWork, item: Item): void => {
  const { submission } = item;
  item.phase = ITEM_PHASE.READY;
  addReady(item);
  const pool = poolOf(owned, poolOfSubmission(turn, submission.row));
  pool.backlog.add(submission);
  pool.dirty = true;
};

/** Whether all steps that an item depends on are done. */
const isUnblocked = (occurrence: Occurrence, item: Item | undefined): boolean =>
  item?.spec.after.every((earlier) => stepIsDone(occurrence, earlier)) ?? true;

const unblockSteps = (turn: Turn, owned: OwnedWork, occurrence: Occurrence): void => {
  occurrence.steps.forEach((items) => {
    if (!isUnblocked(occurrence, items[0])) {
      return;
    }
    for (const item of items) {
      if (item.phase === ITEM_PHASE.BLOCKED) {
        makeReady(turn, owned, item);
      }
    }
  });
};

/** Creates the occurrences that are due and those that a previous owner has started. */
export const makeDueOccurrences = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  history: SubmissionHistory,
): void => {
  const { work } = submission.row;
  const total = Math.max(1, work.occurrences);
  while (submission.createdOccurrences < total && !hasEnded(submission.state)) {
    const number = submission.createdOccurrences;
    const dueWallMs = work.occurrences === 0 ? 0 : work.firstDueWallMs + number * work.intervalMs;
    if (turn.wallMs < dueWallMs && number > history.lastStartedOccurrence) {
      owned.scheduledSubmissions.add(submission);
      return;
    }
    submission.createdOccurrences += 1;
    const occurrence = makeOccurrence(turn, submission, number, history);
    submission.occurrences.set(number, occurrence);
    if (occurrence.steps.every((_, step) => stepIsDone(occurrence, step))) {
      submission.doneOccurrences += 1;
    } else {
      unblockSteps(turn, owned, occurrence);
    }
  }
  owned.scheduledSubmissions.delete(submission);
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
  const submission: Submission = {
    row,
    version,
    overRate: !inherited && exceedsRate(turn, owned, row),
    criticalPathsMs: criticalPathsMs(row.work),
    occurrences: new Map(),
    createdOccurrences: 0,
    doneOccurrences: 0,
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
  countQueued(owned, submission, 1);
  if (!inherited) {
    recordArrival(turn, poolOf(owned, poolOfSubmission(turn, row)), row.work);
  }
  const recorded = owned.startedOccurrences.get(row.id) ?? -1;
  const lastStarted = Math.max(recorded, lastPersistedOccurrence(progress));
  makeDueOccurrences(turn, owned, submission, {
    progress,
    inherited,
    lastStartedOccurrence: lastStarted,
  });
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
    for (const item of occurrence.steps.flat()) {
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
};

/** Ends a submission whose cancel has been stored. */
export const cancelSubmission = (turn: Turn, id: SubmissionId): void => {
  const { owned } = turn.work;
  const submission = owned?.submissions.get(id);
  if (owned === null || submission === undefined || hasEnded(submission.state)) {
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
  if (occurrence === undefined || item.phase === ITEM_PHASE.DONE) {
    return;
  }
  item.phase = ITEM_PHASE.DONE;
  removeReady(item);
  occurrence.doneByStep[item.step] = (occurrence.doneByStep[item.step] ?? 0) + 1;
  markDirty(owned, submission);
  if (hasEnded(submission.state)) {
    return;
  }
  unblockSteps(turn, owned, occurrence);
  if (occurrence.steps.every((_, step) => stepIsDone(occurrence, step))) {
    submission.doneOccurrences += 1;
    if (submission.doneOccurrences === Math.max(1, submission.row.work.occurrences)) {
      endSubmission(turn, owned, submission, SUBMISSION_STATE.COMPLETED, "all items are done");
    }
  }
};

/** Records a failed run. The submission fails once the queue's limit of attempts is reached. */
export const itemFailed = (turn: Turn, owned: OwnedWork, item: Item, run: number): void => {
  const { submission, spec } = item;
  if (hasEnded(submission.state) || item.phase === ITEM_PHASE.DONE || item.failedRuns.has(run)) {
    return;
  }
  if (!spec.lasting) {
    item.failedRuns.add(run);
    markDirty(owned, submission);
    const queue = queueById(turn.work, submission.row.queue);
    if (queue !== null && item.failedRuns.size >= queue.maxAttempts) {
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
  if (occurrence !== undefined && isUnblocked(occurrence, item)) {
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

/** Returns the progress row of a submission. Item details are omitted once it has ended. */
export const progressOf = (submission: Submission): Progress => {
  const done: Record<string, number[]> = {};
  const failures: Record<string, number[]> = {};
  for (const occurrence of submission.occurrences.values()) {
    for (const item of occurrence.steps.flat()) {
      if (item.phase === ITEM_PHASE.DONE) {
        (done[`${item.occurrence}.${item.step}`] ??= []).push(item.index);
      }
      if (item.failedRuns.size > 0) {
        failures[`${item.occurrence}.${item.step}.${item.index}`] = [...item.failedRuns];
      }
    }
  }
  const { state, endedWallMs } = submission;
  const ended = hasEnded(state);
  const obstacle = ended ? null : obstacleOf(submission);
  return {
    id: submission.row.id,
    state,
    done: ended ? {} : done,
    failures: ended ? {} : failures,
    endedWallMs,
    ...(obstacle === null ? {} : { obstacle }),
  };
};
