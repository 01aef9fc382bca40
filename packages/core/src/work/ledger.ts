import { pendingByQueue } from "./calls.js";
import { OWNERSHIP, STORE } from "./constants.js";
import type { RowToWrite, WorkEvent } from "./events.js";
import { endOwning, stillOwner } from "./ownership.js";
import type { LedgerWrite, OwnedWork, Submission } from "./state.js";
import { progressOf } from "./submissions.js";
import { logLine, newCommitId, wakeAfter, type Turn } from "./turn.js";
import type { OwnerRow, WorkerId } from "./types.js";

/** @returns Workers on which something may run. */
const leasedWorkers = (turn: Turn, owned: OwnedWork): WorkerId[] => {
  const leased = new Set(owned.unheard);
  for (const worker of owned.workers.values()) {
    if (worker.leaseEndsAtMs !== null && worker.leaseEndsAtMs > turn.nowMs) {
      leased.add(worker.report.id);
    }
  }
  return [...leased];
};

const ownerRow = (turn: Turn, owned: OwnedWork, released: boolean): OwnerRow => ({
  holder: turn.work.identity.holder,
  incarnation: turn.work.identity.incarnation,
  fence: owned.fence,
  released,
  leasedWorkers: leasedWorkers(turn, owned),
  pending: pendingByQueue(turn),
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
  const write: LedgerWrite = {
    commit: {
      commitId: newCommitId(turn.work),
      conditions: [{ row: { type: "owner" }, version: owned.rowVersion }],
      writes: [
        { type: "owner", owner: ownerRow(turn, owned, releases) },
        ...submissions.map((submission) => ({ type: "progress" as const, progress: progressOf(submission) })),
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
  };
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
  if (owned.released) {
    return;
  }
  if (owned.ledger !== null) {
    if (turn.nowMs >= owned.ledgerRetryAtMs) {
      resend(turn, owned, owned.ledger);
    }
    return;
  }
  const releases = turn.work.leavingAtMs !== null;
  const sinceMs = turn.nowMs - owned.ledgerSentAtMs;
  const due = sinceMs >= OWNERSHIP.RENEW_MS || owned.needsRenewal || releases;
  const news = owned.active && (owned.dirty.size > 0 || endsWait(owned) || wavesChanged(owned));
  if (due) {
    send(turn, owned, releases);
  } else if (news && sinceMs >= STORE.LEDGER_GAP_MS) {
    send(turn, owned, false);
  } else if (news) {
    wakeAfter(turn, STORE.LEDGER_GAP_MS - sinceMs);
  }
};

/** @returns Whether the settled write was the owner's. */
export const ledgerSettled = (turn: Turn, event: Extract<WorkEvent, { type: "store/commitSettled" }>): boolean => {
  const { owned } = turn.work;
  const write = owned?.ledger;
  if (owned === null || write == null || write.commit.commitId !== event.commitId) {
    return false;
  }
  if (event.result === "committed" && event.version !== null) {
    owned.ledger = null;
    owned.rowVersion = event.version;
    owned.confirmedAtMs = Math.max(owned.confirmedAtMs, event.sentAtMs);
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
      confirmedAgeMs: Math.round(Math.min(turn.nowMs - owned.confirmedAtMs, 1e9)),
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
  if (write.releases) {
    owned.released = true;
    endOwning(turn, "given back at shutdown");
  }
};
