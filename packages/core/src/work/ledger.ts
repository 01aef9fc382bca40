import { countPending } from "./pending.js";
import { strongestMilli } from "./claimDelay.js";
import { considerYield, yieldsOf } from "./yielding.js";
import { OWNERSHIP, STORE } from "./constants.js";
import type { RowToWrite, WorkEvent } from "./events.js";
import { takeForgotten } from "./forget.js";
import { dropHostOrders, sendHostOrders } from "./hostOrders.js";
import { orderedHosts } from "./hosts.js";
import { hearsHandIns, isSure } from "./certainty.js";
import { endOwning, stillOwner } from "./ownership.js";
import { chooseStarts, hasStaleLeases, leaseRows, staleLeases } from "./leaseRows.js";
import type { LedgerWrite, OwnedWork, Submission } from "./state.js";
import { progressOf } from "./submissions.js";
import { logLine, loggedMs, newCommitId, vouchedAtMs, wakeAfter, type Turn } from "./turn.js";
import type { OwnerRow } from "./types.js";
import { dropStarts, sendStarts } from "./starts.js";
import { workerChanged } from "./workerTimers.js";

const isShuttingDown = ({ work }: Turn): boolean => work.leavingAtMs !== null;

const ownerRow = (turn: Turn, owned: OwnedWork, released: boolean): OwnerRow => ({
  holder: turn.work.identity.holder,
  incarnation: turn.work.identity.incarnation,
  fence: owned.fence,
  released,
  orderedHosts: orderedHosts(turn, owned),
  strongestMilli: strongestMilli(turn.work),
  yields: yieldsOf(turn.work, owned),
  pending: countPending(turn, owned),
});

const takeDirtySubmissions = (owned: OwnedWork, maxCount: number): Submission[] => {
  const chosen: Submission[] = [];
  for (const submission of owned.dirty) {
    if (chosen.length >= maxCount) {
      break;
    }
    chosen.push(submission);
  }
  for (const submission of chosen) {
    submission.dirty = false;
    owned.dirty.delete(submission);
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
  for (const { seenSequence, durableSequence } of owned.endsToWrite) {
    endsDeferred += seenSequence - durableSequence;
  }
  logLine(turn, "warn", "owner.commitTruncated", {
    fence: Number(owned.fence),
    submissions: owned.dirty.size,
    endsDeferred,
  });
};

/**
 * Returns the run ends that workers may discard once the commit succeeds: none while a submission
 * remains dirty, since it may be one that those ends changed.
 */
const acknowledgeableEnds = (owned: OwnedWork): LedgerWrite["ends"] =>
  owned.dirty.size > 0
    ? []
    : [...owned.endsToWrite].map((worker) => ({ worker, sequence: worker.seenSequence }));

/** Commits changed rows together with the owner row; at most one such commit is in flight. */
const sendCommit = (turn: Turn, owned: OwnedWork): void => {
  const { named, workers, waiting } = chooseStarts(owned.plannedStarts);
  const submissions = takeDirtySubmissions(owned, STORE.MAX_ROWS - workers.size);
  const takesAllDirty = owned.dirty.size === 0;
  if (!takesAllDirty) {
    logCommitTruncated(turn, owned);
  }
  const rowsLeft = STORE.MAX_ROWS - workers.size - submissions.length;
  const leases = leaseRows(
    owned,
    [...workers, ...staleLeases(owned, workers, rowsLeft)],
    takesAllDirty,
  );
  const forgotten = takeForgotten(owned, rowsLeft - leases.writes.length - leases.removes.length);
  const releases = owned.releasing && takesAllDirty && !hasStaleLeases(owned);
  const write: LedgerWrite = {
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
      removes: [...leases.removes, ...forgotten],
    },
    submissions: submissions.map((submission) => ({ submission, shows: submission.state })),
    ends: acknowledgeableEnds(owned),
    releases,
    starts: named,
    orders: owned.plannedOrders,
  };
  owned.plannedStarts = waiting;
  owned.plannedOrders = [];
  owned.ledger = write;
  owned.needsRenewal = false;
  sendOrRetry(turn, owned, write);
};

const sendOrRetry = (turn: Turn, owned: OwnedWork, write: LedgerWrite): void => {
  owned.ledgerSentAtMs = turn.nowMs;
  owned.ledgerRetryAtMs = Infinity;
  turn.effects.push({
    type: "store/commit",
    ...write.commit,
    conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
  });
};

/** Returns the time until the next commit may be sent, in ms; infinite while one is in flight. */
export const untilWriteMs = ({ nowMs }: Turn, { ledger, ledgerSentAtMs }: OwnedWork): number =>
  ledger === null ? Math.max(0, ledgerSentAtMs + STORE.LEDGER_GAP_MS - nowMs) : Infinity;

/** Sends or retries the owner's commit when there are changes or the owner row needs renewal. */
export const tickLedger = (turn: Turn, owned: OwnedWork): void => {
  if (owned.ledger !== null) {
    if (turn.nowMs >= owned.ledgerRetryAtMs) {
      sendOrRetry(turn, owned, owned.ledger);
    }
    return;
  }
  // Once `releasing` is set, no orders are sent any more.
  considerYield(turn, owned);
  owned.releasing = isShuttingDown(turn) || owned.yielding;
  const sinceMs = turn.nowMs - owned.ledgerSentAtMs;
  const due = sinceMs >= OWNERSHIP.RENEW_MS || owned.needsRenewal || owned.releasing;
  const hasChanges =
    owned.active &&
    (owned.dirty.size > 0 ||
      owned.endsToWrite.size > 0 ||
      hasDirtyWaves(owned) ||
      owned.plannedOrders.length > 0 ||
      owned.plannedStarts.length > 0);
  if (due || (hasChanges && sinceMs >= STORE.LEDGER_GAP_MS)) {
    sendCommit(turn, owned);
  } else if (hasChanges) {
    wakeAfter(turn, STORE.LEDGER_GAP_MS - sinceMs);
  }
};

/**
 * Handles the result of the owner's commit.
 *
 * @returns Whether the settled commit was the owner's.
 */
export const ledgerSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const { owned } = turn.work;
  const write = owned?.ledger;
  if (owned === null || write?.commit.commitId !== event.commitId) {
    return false;
  }
  if (event.result === "committed" && event.version !== null) {
    owned.ledger = null;
    owned.rowVersion = event.version;
    owned.confirmedAtMs = Math.max(owned.confirmedAtMs, vouchedAtMs(turn, event.sentAtMs));
    applyCommitted(turn, owned, write);
  } else if (event.result === "conflicted") {
    if (stillOwner(turn, owned, event.rows, event.sentAtMs)) {
      owned.ledgerRetryAtMs = turn.nowMs;
      wakeAfter(turn, 1);
    }
  } else {
    logLine(turn, "warn", "owner.writeUnsettled", {
      result: event.result,
      reason: event.reason,
      confirmedAgeMs: loggedMs(turn.nowMs - owned.confirmedAtMs),
    });
    owned.ledgerRetryAtMs = turn.nowMs + STORE.COMMIT_RETRY_MS;
  }
  return true;
};

const applyCommitted = (turn: Turn, owned: OwnedWork, write: LedgerWrite): void => {
  for (const { submission, shows } of write.submissions) {
    submission.shownState = shows;
  }
  for (const { worker, sequence } of write.ends) {
    worker.durableSequence = Math.max(worker.durableSequence, sequence);
    if (worker.seenSequence === worker.durableSequence) {
      owned.endsToWrite.delete(worker);
    }
    workerChanged(owned, worker);
  }
  const sure = isSure(turn, owned);
  if (sure) {
    sendHostOrders(turn, owned, write.orders);
  } else {
    dropHostOrders(turn, owned, write.orders);
  }
  if (sure && hearsHandIns(turn)) {
    sendStarts(turn, owned, write.starts);
  } else {
    dropStarts(turn, owned, write.starts);
  }
  if (write.releases) {
    endOwning(
      turn,
      isShuttingDown(turn) ? "released at shutdown" : "yielded to a node with more processor time",
    );
    turn.work.claimsFromMs = turn.nowMs + OWNERSHIP.YIELD_REST_MS;
  }
};
