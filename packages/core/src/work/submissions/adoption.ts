import { recordArrival } from "../hosts/arrivals.js";
import { teamById } from "../store/catalog.js";
import { ownerRecords, type RememberedRefusal } from "../admission/index.js";
import { ITEM_WINDOW, SUBMISSION_STATE, TOKEN_BUCKET } from "../constants.js";
import { criticalPathsMs } from "./criticalPaths.js";
import { expectedStepsMs, newRunTimes } from "./expectedRunTimes.js";
import { DoneItems } from "./doneItems.js";
import { addFailedRun } from "./failedRuns.js";
import { holdEnded, holdOpen } from "./heldSubmissions.js";
import { noteBookedRuns } from "./idleSubmissions.js";
import { findItem } from "./itemLookup.js";
import { isOccurrenceDone, lastPersistedOccurrence, makeOccurrence } from "./occurrences.js";
import { itemForRun, unblockSteps, UnopenedSteps } from "./openItems.js";
import { poolOf } from "../hosts/pools.js";
import { ProgressLayout } from "./progressLayout.js";
import type { OwnedWork, Submission } from "../state.js";
import { countQueued, hasEnded, poolOfSubmission } from "./submissionStates.js";
import { cancelSubmission } from "./submissions.js";
import { earlierRefusal, recordSubmission } from "../placement/poolAverages.js";
import { takeToken } from "../placement/tokenBucket.js";
import type { Turn } from "../turn.js";
import type { ItemKey, SubmissionRow, Progress, StoreVersion } from "../types.js";

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

/**
 * Whether a submission exceeds its team's rate. One that the store could not take before has a token
 * from the time of the outage, which new submissions of the team do not use.
 */
const exceedsRate = (
  turn: Turn,
  owned: OwnedWork,
  row: SubmissionRow,
  refusal: RememberedRefusal | null,
): boolean => {
  const team = teamById(turn.work, row.team);
  if (team === null || refusal?.wasBeyondRate === true) {
    return refusal?.wasBeyondRate === true;
  }
  const { returnBuckets } = ownerRecords(turn.work.admission, owned.fence);
  const buckets = refusal === null ? owned.tokenBuckets : returnBuckets;
  const burstS = refusal === null ? TOKEN_BUCKET.BURST_S : TOKEN_BUCKET.RETURN_BURST_S;
  const bucket = buckets.get(team.id) ?? {
    tokens: team.weight * burstS,
    refilledAtMs: turn.nowMs,
  };
  buckets.set(team.id, bucket);
  return !takeToken(bucket, team.weight, turn.nowMs, burstS);
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
  const runTimes = newRunTimes(turn, owned.runTimes, row, hasEnded(state));
  const refusal = earlierRefusal(turn, owned, row);
  const submission: Submission = {
    row,
    heldBytes: 0,
    version,
    layout,
    inherited,
    done,
    unopened: new UnopenedSteps(),
    openCount: 0,
    failing: new Set(),
    failureBytes: 0,
    bookedRuns: 0,
    // One that was refused goes on counting from then, and as beyond the rate if it was.
    overRate: !inherited && exceedsRate(turn, owned, row, refusal),
    arrivedWallMs: refusal?.firstWallMs ?? row.acceptedWallMs,
    runTimes,
    criticalPathsMs: criticalPathsMs(row.work, expectedStepsMs(runTimes)),
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
  if (hasEnded(state)) {
    holdEnded(owned, submission);
  } else {
    holdOpen(owned, submission);
  }
  noteBookedRuns(turn, owned, submission);
  countQueued(owned, submission, 1);
  if (!inherited) {
    const pool = poolOf(owned, poolOfSubmission(turn, row));
    recordArrival(turn, pool, row.work, expectedStepsMs(runTimes));
    recordSubmission(turn, owned, submission);
  }
  const recorded = owned.startedOccurrences.get(row.id) ?? -1;
  const lastStarted = Math.max(recorded, lastPersistedOccurrence(progress));
  makeDueOccurrences(turn, owned, submission, lastStarted);
  restoreFailures(turn, owned, submission, progress?.failures ?? {});
  if (owned.unmatchedCancels.delete(row.id)) {
    cancelSubmission(turn, row.id);
  }
};
