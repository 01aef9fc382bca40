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

const isLeaving = ({ work }: Turn): boolean => work.leavingAtMs !== null;

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

const gather = (owned: OwnedWork, most: number): Submission[] => {
  const chosen: Submission[] = [];
  for (const submission of owned.dirty) {
    if (chosen.length >= most) {
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

const waveReports = (owned: OwnedWork): RowToWrite[] => {
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

const wavesChanged = (owned: OwnedWork): boolean => {
  for (const wave of owned.waves.values()) {
    if (wave.dirty) {
      return true;
    }
  }
  return false;
};

/** Ends of what is left behind are in no row until the next write. */
const logLeftBehind = (turn: Turn, owned: OwnedWork): void => {
  let endsLeft = 0;
  for (const { seenSequence, durableSequence } of owned.endsToWrite) {
    endsLeft += seenSequence - durableSequence;
  }
  logLine(turn, "warn", "owner.leftBehind", {
    fence: Number(owned.fence),
    submissions: owned.dirty.size,
    endsLeft,
  });
};

/** @returns Ends that may be acknowledged: every submission they touched must be written. */
const writtenEnds = (owned: OwnedWork): LedgerWrite["ends"] =>
  owned.dirty.size > 0
    ? []
    : [...owned.endsToWrite].map((worker) => ({ worker, sequence: worker.seenSequence }));

/** Writes what has changed, and the owner's row with it; one write at a time. */
const send = (turn: Turn, owned: OwnedWork): void => {
  const { named, workers, waiting } = chooseStarts(owned.plannedStarts);
  const submissions = gather(owned, STORE.MAX_ROWS - workers.size);
  const leavesNone = owned.dirty.size === 0;
  if (!leavesNone) {
    logLeftBehind(turn, owned);
  }
  const left = STORE.MAX_ROWS - workers.size - submissions.length;
  const leases = leaseRows(owned, [...workers, ...staleLeases(owned, workers, left)], leavesNone);
  const forgotten = takeForgotten(owned, left - leases.writes.length - leases.removes.length);
  const releases = owned.releasing && leavesNone && !hasStaleLeases(owned);
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
        ...waveReports(owned),
      ],
      removes: [...leases.removes, ...forgotten],
    },
    submissions: submissions.map((submission) => ({ submission, shows: submission.state })),
    ends: writtenEnds(owned),
    releases,
    starts: named,
    orders: owned.plannedOrders,
  };
  owned.plannedStarts = waiting;
  owned.plannedOrders = [];
  owned.ledger = write;
  owned.needsRenewal = false;
  resend(turn, owned, write);
};

const resend = (turn: Turn, owned: OwnedWork, write: LedgerWrite): void => {
  owned.ledgerSentAtMs = turn.nowMs;
  owned.ledgerRetryAtMs = Infinity;
  turn.effects.push({
    type: "store/commit",
    ...write.commit,
    conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
  });
};

/** @returns How long it takes until the next write may be sent; infinite while one is under way. */
export const untilWriteMs = ({ nowMs }: Turn, { ledger, ledgerSentAtMs }: OwnedWork): number =>
  ledger === null ? Math.max(0, ledgerSentAtMs + STORE.LEDGER_GAP_MS - nowMs) : Infinity;

/** Starts a write when something waits for it or the owner's row is due. */
export const tickLedger = (turn: Turn, owned: OwnedWork): void => {
  if (owned.ledger !== null) {
    if (turn.nowMs >= owned.ledgerRetryAtMs) {
      resend(turn, owned, owned.ledger);
    }
    return;
  }
  // Nothing is ordered any more once the work is being given back.
  considerYield(turn, owned);
  owned.releasing = isLeaving(turn) || owned.yielding;
  const sinceMs = turn.nowMs - owned.ledgerSentAtMs;
  const due = sinceMs >= OWNERSHIP.RENEW_MS || owned.needsRenewal || owned.releasing;
  const news =
    owned.active &&
    (owned.dirty.size > 0 ||
      owned.endsToWrite.size > 0 ||
      wavesChanged(owned) ||
      owned.plannedOrders.length > 0 ||
      owned.plannedStarts.length > 0);
  if (due || (news && sinceMs >= STORE.LEDGER_GAP_MS)) {
    send(turn, owned);
  } else if (news) {
    wakeAfter(turn, STORE.LEDGER_GAP_MS - sinceMs);
  }
};

/** @returns Whether the settled write was the owner's. */
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
    showWritten(turn, owned, write);
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

const showWritten = (turn: Turn, owned: OwnedWork, write: LedgerWrite): void => {
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
    endOwning(turn, isLeaving(turn) ? "given back at shutdown" : "given back to a stronger node");
    turn.work.claimsFromMs = turn.nowMs + OWNERSHIP.YIELD_REST_MS;
  }
};
