import { countPending } from "../calls/pendingCount.js";
import { strongestOwnerMilli } from "./claimDelay.js";
import { yieldIfDue, yieldCount } from "./ownershipYield.js";
import { nextTermMs, recordRenewal } from "./ownerTerm.js";
import { OWNERSHIP, STORE } from "../constants.js";
import { CommitBudget } from "./commitBudget.js";
import { commitAccepted, commitRejected } from "./commitRejection.js";
import { hasDirtyWaves, takeCommitRows } from "../store/commitRows.js";
import type { WorkEvent } from "../events.js";
import { dropHostOrders, sendHostOrders } from "../hosts/hostOrders.js";
import { recentHostOrders } from "../hosts/hosts.js";
import { heldFigures } from "../submissions/heldSubmissions.js";
import { isOwnershipConfirmed, mayStartRuns } from "./ownershipConfirmation.js";
import { endOwnership, stillOwner } from "./ownership.js";
import { hasStaleLeases } from "../store/leaseRows.js";
import { storedBytes } from "../store/storedSize.js";
import type { OwnerCommit, OwnedWork } from "../state.js";
import { logLine, roundedMs, newCommitId, validAsOfMs, wakeAfter, type Turn } from "../turn.js";
import type { OwnerRow } from "../types.js";
import { publishedAdmission } from "../placement/admissionFigures.js";
import { cancelPlannedStarts, sendStarts } from "../placement/starts.js";
import { markWorkerChanged } from "../workers/workerTimers.js";

const isShuttingDown = ({ work }: Turn): boolean => work.shutdownRequestedAtMs !== null;

const publishedHeld = (turn: Turn, owned: OwnedWork): Pick<OwnerRow, "held"> => {
  const held = heldFigures(turn.work, owned);
  return held === null ? {} : { held };
};

const ownerRow = (turn: Turn, owned: OwnedWork, released: boolean): OwnerRow => ({
  holder: turn.work.identity.holder,
  incarnation: turn.work.identity.incarnation,
  fence: owned.fence,
  released,
  orderedHosts: recentHostOrders(turn, owned),
  strongestMilli: strongestOwnerMilli(turn.work),
  yields: yieldCount(turn.work, owned),
  pending: countPending(turn, owned),
  termMs: nextTermMs(turn, owned),
  ...publishedAdmission(turn, owned),
  ...publishedHeld(turn, owned),
  ...(owned.storesWindows ? { storesWindows: true } : {}),
});

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
  const budget = new CommitBudget(owned.commitRowLimit);
  budget.takeOwnerRow(storedBytes({ type: "owner", owner: ownerRow(turn, owned, false) }));
  const { writes, removes, changes, starts, takesAllDirty } = takeCommitRows(turn, owned, budget);
  const releases = owned.releasing && takesAllDirty && !hasStaleLeases(owned);
  const ownerCommit: OwnerCommit = {
    commit: {
      commitId: newCommitId(turn.work),
      conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
      writes: [{ type: "owner", owner: ownerRow(turn, owned, releases) }, ...writes],
      removes,
    },
    submissions: changes.submissions.map((submission) => ({
      submission,
      reportedState: submission.state,
    })),
    ends: acknowledgeableEnds(owned),
    releases,
    termMs: nextTermMs(turn, owned),
    starts,
    orders: owned.plannedHostOrders,
    changes,
  };
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
    owned.termMs = ownerCommit.termMs;
    recordRenewal(turn, owned);
    owned.confirmedAtMs = Math.max(owned.confirmedAtMs, validAsOfMs(turn, event.sentAtMs));
    commitAccepted(owned);
    applyCommitted(turn, owned, ownerCommit);
  } else if (event.result === "conflicted") {
    if (stillOwner(turn, owned, event.rows, event.sentAtMs)) {
      owned.commitRetryAtMs = turn.nowMs;
      wakeAfter(turn, 1);
    }
  } else if (event.result === "rejected") {
    commitRejected(turn, owned, ownerCommit, event.reason);
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
  if (isOwnershipConfirmed(turn, owned)) {
    sendHostOrders(turn, owned, ownerCommit.orders);
  } else {
    dropHostOrders(turn, owned, ownerCommit.orders);
  }
  if (mayStartRuns(turn, owned)) {
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
