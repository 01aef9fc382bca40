import { countPending } from "./pendingCount.js";
import { strongestOwnerMilli } from "./claimDelay.js";
import { yieldIfDue, yieldCount } from "./ownershipYield.js";
import { OWNERSHIP, STORE } from "./constants.js";
import type { RowToWrite, WorkEvent } from "./events.js";
import { takePurgedRows } from "./purge.js";
import { dropHostOrders, sendHostOrders } from "./hostOrders.js";
import { recentHostOrders } from "./hosts.js";
import { isSubmissionViewFresh, isOwnershipConfirmed } from "./ownershipConfirmation.js";
import { endOwnership, stillOwner } from "./ownership.js";
import { selectStarts, hasStaleLeases, leaseRowChanges, staleLeases } from "./leaseRows.js";
import type { OwnerCommit, OwnedWork, Submission } from "./state.js";
import { progressOf } from "./submissions.js";
import { logLine, roundedMs, newCommitId, validAsOfMs, wakeAfter, type Turn } from "./turn.js";
import type { OwnerRow } from "./types.js";
import { cancelPlannedStarts, sendStarts } from "./starts.js";
import { markWorkerChanged } from "./workerTimers.js";

const isShuttingDown = ({ work }: Turn): boolean => work.shutdownRequestedAtMs !== null;

const ownerRow = (turn: Turn, owned: OwnedWork, released: boolean): OwnerRow => ({
  holder: turn.work.identity.holder,
  incarnation: turn.work.identity.incarnation,
  fence: owned.fence,
  released,
  orderedHosts: recentHostOrders(turn, owned),
  strongestMilli: strongestOwnerMilli(turn.work),
  yields: yieldCount(turn.work, owned),
  pending: countPending(turn, owned),
});

const takeDirtySubmissions = (owned: OwnedWork, maxCount: number): Submission[] => {
  const chosen: Submission[] = [];
  for (const submission of owned.dirtySubmissions) {
    if (chosen.length >= maxCount) {
      break;
    }
    chosen.push(submission);
  }
  for (const submission of chosen) {
    submission.dirty = false;
    owned.dirtySubmissions.delete(submission);
  }
  return chosen;
};

const takeWaveReports = (owned: OwnedWork): RowToWrite[] => {
  const rows: RowToWrite[] = [];
  for (const wave of owned.waves.values()) {
    if (wave.dirty) {
      wave.dirty = false;
      rows.push({
        type: "waveReport",
        wave: wave.request.wave,
        completed: wave.completed,
        seenWallMs: wave.seenWallMs,
        doneHosts: [...wave.doneHosts],
      });
    }
  }
  return rows;
};

const hasDirtyWaves = (owned: OwnedWork): boolean => {
  for (const wave of owned.waves.values()) {
    if (wave.dirty) {
      return true;
    }
  }
  return false;
};

/** Logs that a commit could not take all dirty submissions, which defers run ends to the next. */
const logCommitTruncated = (turn: Turn, owned: OwnedWork): void => {
  let endsDeferred = 0;
  for (const { seenSequence, durableSequence } of owned.workersWithUnpersistedEnds) {
    endsDeferred += seenSequence - durableSequence;
  }
  logLine(turn, "warn", "owner.commitTruncated", {
    fence: Number(owned.fence),
    submissions: owned.dirtySubmissions.size,
    endsDeferred,
  });
};

/**
 * Returns the run ends that workers may discard once the commit succeeds: none while a submission
 * remains dirty, since it may be one that those ends changed.
 */
const acknowledgeableEnds = (owned: OwnedWork): OwnerCommit["ends"] =>
  owned.dirtySubmissions.size > 0
    ? []
    : [...owned.workersWithUnpersistedEnds].map((worker) => ({
        worker,
        sequence: worker.seenSequence,
      }));

/** Commits changed rows together with the owner row; at most one such commit is in flight. */
const sendCommit = (turn: Turn, owned: OwnedWork): void => {
  const { selected, workers, deferred } = selectStarts(owned.plannedStarts);
  const submissions = takeDirtySubmissions(owned, STORE.MAX_ROWS - workers.size);
  const takesAllDirty = owned.dirtySubmissions.size === 0;
  if (!takesAllDirty) {
    logCommitTruncated(turn, owned);
  }
  const rowsLeft = STORE.MAX_ROWS - workers.size - submissions.length;
  const leases = leaseRowChanges(
    turn,
    owned,
    [...workers, ...staleLeases(owned, workers, rowsLeft)],
    takesAllDirty,
  );
  const purged = takePurgedRows(owned, rowsLeft - leases.writes.length - leases.removes.length);
  const releases = owned.releasing && takesAllDirty && !hasStaleLeases(owned);
  const ownerCommit: OwnerCommit = {
    commit: {
      commitId: newCommitId(turn.work),
      conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
      writes: [
        { type: "owner", owner: ownerRow(turn, owned, releases) },
        ...leases.writes,
        ...submissions.map((submission) => ({
          type: "progress" as const,
          progress: progressOf(submission),
        })),
        ...takeWaveReports(owned),
      ],
      removes: [...leases.removes, ...purged],
    },
    submissions: submissions.map((submission) => ({ submission, reportedState: submission.state })),
    ends: acknowledgeableEnds(owned),
    releases,
    starts: selected,
    orders: owned.plannedHostOrders,
  };
  owned.plannedStarts = deferred;
  owned.plannedHostOrders = [];
  owned.commitInFlight = ownerCommit;
  owned.needsRenewal = false;
  sendOrRetry(turn, owned, ownerCommit);
};

const sendOrRetry = (turn: Turn, owned: OwnedWork, ownerCommit: OwnerCommit): void => {
  owned.commitSentAtMs = turn.nowMs;
  owned.commitRetryAtMs = Infinity;
  turn.effects.push({
    type: "store/commit",
    ...ownerCommit.commit,
    conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
  });
};

/** Returns the time until the next commit may be sent, in ms; infinite while one is in flight. */
export const nextCommitDelayMs = (
  { nowMs }: Turn,
  { commitInFlight, commitSentAtMs }: OwnedWork,
): number =>
  commitInFlight === null
    ? Math.max(0, commitSentAtMs + STORE.OWNER_COMMIT_GAP_MS - nowMs)
    : Infinity;

/** Sends or retries the owner's commit when there are changes or the owner row needs renewal. */
export const tickOwnerCommit = (turn: Turn, owned: OwnedWork): void => {
  if (owned.commitInFlight !== null) {
    if (turn.nowMs >= owned.commitRetryAtMs) {
      sendOrRetry(turn, owned, owned.commitInFlight);
    }
    return;
  }
  // Once `releasing` is set, no orders are sent any more.
  yieldIfDue(turn, owned);
  owned.releasing = isShuttingDown(turn) || owned.yielding;
  const sinceMs = turn.nowMs - owned.commitSentAtMs;
  const due = sinceMs >= OWNERSHIP.RENEW_MS || owned.needsRenewal || owned.releasing;
  const hasChanges =
    owned.active &&
    (owned.dirtySubmissions.size > 0 ||
      owned.workersWithUnpersistedEnds.size > 0 ||
      hasDirtyWaves(owned) ||
      owned.plannedHostOrders.length > 0 ||
      owned.plannedStarts.length > 0);
  if (due || (hasChanges && sinceMs >= STORE.OWNER_COMMIT_GAP_MS)) {
    sendCommit(turn, owned);
  } else if (hasChanges) {
    wakeAfter(turn, STORE.OWNER_COMMIT_GAP_MS - sinceMs);
  }
};

/**
 * Handles the result of the owner's commit.
 *
 * @returns Whether the settled commit was the owner's.
 */
export const ownerCommitSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const { owned } = turn.work;
  const ownerCommit = owned?.commitInFlight;
  if (owned === null || ownerCommit?.commit.commitId !== event.commitId) {
    return false;
  }
  if (event.result === "committed" && event.version !== null) {
    owned.commitInFlight = null;
    owned.rowVersion = event.version;
    owned.confirmedAtMs = Math.max(owned.confirmedAtMs, validAsOfMs(turn, event.sentAtMs));
    applyCommitted(turn, owned, ownerCommit);
  } else if (event.result === "conflicted") {
    if (stillOwner(turn, owned, event.rows, event.sentAtMs)) {
      owned.commitRetryAtMs = turn.nowMs;
      wakeAfter(turn, 1);
    }
  } else {
    logLine(turn, "warn", "owner.writeUnsettled", {
      result: event.result,
      reason: event.reason,
      confirmedAgeMs: roundedMs(turn.nowMs - owned.confirmedAtMs),
    });
    owned.commitRetryAtMs = turn.nowMs + STORE.COMMIT_RETRY_MS;
  }
  return true;
};

const applyCommitted = (turn: Turn, owned: OwnedWork, ownerCommit: OwnerCommit): void => {
  for (const { submission, reportedState } of ownerCommit.submissions) {
    submission.reportedState = reportedState;
  }
  for (const { worker, sequence } of ownerCommit.ends) {
    worker.durableSequence = Math.max(worker.durableSequence, sequence);
    if (worker.seenSequence === worker.durableSequence) {
      owned.workersWithUnpersistedEnds.delete(worker);
    }
    markWorkerChanged(owned, worker);
  }
  const confirmed = isOwnershipConfirmed(turn, owned);
  if (confirmed) {
    sendHostOrders(turn, owned, ownerCommit.orders);
  } else {
    dropHostOrders(turn, owned, ownerCommit.orders);
  }
  if (confirmed && isSubmissionViewFresh(turn)) {
    sendStarts(turn, owned, ownerCommit.starts);
  } else {
    cancelPlannedStarts(turn, owned, ownerCommit.starts);
  }
  if (ownerCommit.releases) {
    endOwnership(
      turn,
      isShuttingDown(turn) ? "released at shutdown" : "yielded to a node with more processor time",
    );
    turn.work.claimsAllowedFromMs = turn.nowMs + OWNERSHIP.YIELD_BACKOFF_MS;
  }
};
