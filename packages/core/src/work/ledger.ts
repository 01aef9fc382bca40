import { countPending } from "./pending.js";
import { OWNERSHIP, STORE } from "./constants.js";
import type { RowToWrite, WorkEvent } from "./events.js";
import { orderedHosts, sendHostOrders } from "./hosts.js";
import { endOwning, isSure, stillOwner } from "./ownership.js";
import type { LedgerWrite, OwnedWork, Submission, Worker } from "./state.js";
import { progressOf } from "./submissions.js";
import { logLine, loggedMs, newCommitId, vouchedAtMs, wakeAfter, type Turn } from "./turn.js";
import type { LeasedWorker, OwnerRow, WorkerId } from "./types.js";
import { dropStarts, sendStarts } from "./starts.js";
import { hasStops } from "./leases.js";

const itemsOn = (worker: Worker): Record<string, number[]> => {
  const items: Record<string, number[]> = {};
  for (const { item } of worker.runs.values()) {
    const step = `${item.submission.handIn.id}.${item.occurrence}.${item.step}`;
    (items[step] ??= []).push(item.index);
  }
  return items;
};

/** @returns Workers on which something may run, and what. */
const leasedWorkers = (owned: OwnedWork): Record<WorkerId, LeasedWorker> => {
  const rows: Record<WorkerId, LeasedWorker> = Object.fromEntries(owned.unheard);
  for (const worker of owned.workers.values()) {
    if (worker.runs.size > 0 || worker.strayStops.size > 0) {
      rows[worker.report.id] = {
        pool: worker.report.pool,
        items: itemsOn(worker),
        stopping: hasStops(worker),
      };
    }
  }
  return rows;
};

const ownerRow = (turn: Turn, owned: OwnedWork, released: boolean): OwnerRow => ({
  holder: turn.work.identity.holder,
  incarnation: turn.work.identity.incarnation,
  fence: owned.fence,
  released,
  leased: leasedWorkers(owned),
  orderedHosts: orderedHosts(turn, owned),
  pending: countPending(turn, owned),
});

const gather = (owned: OwnedWork): Submission[] => {
  const chosen: Submission[] = [];
  for (const submission of owned.dirty) {
    if (chosen.length >= STORE.MAX_ROWS) {
      break;
    }
    chosen.push(submission);
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

/** Writes what has changed, and the owner's row with it; one write at a time. */
const send = (turn: Turn, owned: OwnedWork, releases: boolean): void => {
  const submissions = gather(owned);
  for (const submission of submissions) {
    submission.dirty = false;
    owned.dirty.delete(submission);
  }
  const complete = owned.dirty.size === 0;
  const owner = ownerRow(turn, owned, releases);
  const write: LedgerWrite = {
    commit: {
      commitId: newCommitId(turn.work),
      conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
      writes: [
        { type: "owner", owner },
        ...submissions.map((submission) => ({
          type: "progress" as const,
          progress: progressOf(submission),
        })),
        ...waveReports(owned),
      ],
      removes: [],
    },
    submissions: submissions.map((submission) => ({ submission, shows: submission.state })),
    // Ends may be acknowledged only if every submission they touched is in this write.
    ends: complete
      ? [...owned.workers.values()]
          .filter(({ seenSequence, durableSequence }) => seenSequence > durableSequence)
          .map((worker) => ({ worker, sequence: worker.seenSequence }))
      : [],
    releases,
    starts: owned.plannedStarts,
    orders: owned.plannedOrders,
  };
  owned.plannedStarts = [];
  owned.plannedOrders = [];
  owned.ledger = write;
  owned.releasing = releases;
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

const endsWait = (owned: OwnedWork): boolean => {
  for (const worker of owned.workers.values()) {
    if (worker.seenSequence > worker.durableSequence) {
      return true;
    }
  }
  return false;
};

/** Starts a write when something waits for it or the owner's row is due. */
export const tickLedger = (turn: Turn, owned: OwnedWork): void => {
  if (owned.ledger !== null) {
    if (turn.nowMs >= owned.ledgerRetryAtMs) {
      resend(turn, owned, owned.ledger);
    }
    return;
  }
  const releases = turn.work.leavingAtMs !== null;
  const sinceMs = turn.nowMs - owned.ledgerSentAtMs;
  const due = sinceMs >= OWNERSHIP.RENEW_MS || owned.needsRenewal || releases;
  const news =
    owned.active &&
    (owned.dirty.size > 0 ||
      endsWait(owned) ||
      wavesChanged(owned) ||
      owned.plannedOrders.length > 0 ||
      owned.plannedStarts.length > 0);
  if (due) {
    send(turn, owned, releases);
  } else if (news && sinceMs >= STORE.LEDGER_GAP_MS) {
    send(turn, owned, false);
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
  }
  if (isSure(turn, owned)) {
    sendHostOrders(turn, owned, write.orders);
    sendStarts(turn, owned, write.starts);
  } else {
    dropStarts(turn, owned, write.starts);
  }
  if (write.releases) {
    endOwning(turn, "given back at shutdown");
  }
};
