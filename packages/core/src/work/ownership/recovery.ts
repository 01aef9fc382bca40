import { STORE } from "../constants.js";
import { countSteps } from "../handlingCost.js";
import { previousLeasesEndAtMs } from "../workers/earlierLeases.js";
import { grantedLeaseMs } from "../workers/leaseTimes.js";
import type { Scan, StoreRow, WorkEvent } from "../events.js";
import { updateWithheldCharges, leasedItems, releaseItems, adoptLeases } from "./withheldItems.js";
import { markLeaseChanged } from "../store/leaseRows.js";
import { poolOf } from "../hosts/pools.js";
import type { OwnedWork } from "../state.js";
import { adoptSubmission } from "../submissions/adoption.js";
import { cancelSubmission } from "../submissions/submissions.js";
import { logLine, validAsOfMs, wakeAfter, type Turn } from "../turn.js";
import type { Progress, SubmissionId, WorkerId } from "../types.js";
import { restoreWave } from "../hosts/maintenanceWaves.js";
import { registrationRead } from "../workers/registrations.js";

/** Stores one of the tables that a new owner loads; once all are loaded, it starts to decide. */
export const tableLoaded = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "store/scanned" }>,
): void => {
  const { work } = turn;
  if (!owned.pendingLoads.delete(event.scan)) {
    return;
  }
  owned.loadedRows.push(...event.rows);
  if (event.scan === "workers" || event.scan === "handIns") {
    const feed = work.feeds[event.scan];
    feed.after = event.version;
    feed.viewAtMs = validAsOfMs(turn, event.sentAtMs);
    feed.viewStoreMs = event.storeMs;
  }
  if (owned.pendingLoads.size === 0) {
    const rows = owned.loadedRows;
    owned.loadedRows = [];
    activate(turn, owned, rows);
  }
};

/** Schedules another read of a table whose read failed; the owner decides nothing without it. */
export const tableLoadFailed = (turn: Turn, owned: OwnedWork, scan: Scan): void => {
  owned.loadRetries.set(scan, turn.nowMs + STORE.SCAN_RETRY_MS);
  wakeAfter(turn, STORE.SCAN_RETRY_MS);
};

/** Retries failed table reads that are due. */
export const retryTableLoads = (turn: Turn, owned: OwnedWork): void => {
  for (const [scan, atMs] of owned.loadRetries) {
    if (turn.nowMs >= atMs) {
      owned.loadRetries.delete(scan);
      turn.effects.push({ type: "store/scan", scan });
    }
  }
};

/** Builds the owner's state from all loaded rows. */
const activate = (turn: Turn, owned: OwnedWork, rows: readonly StoreRow[]): void => {
  const progress = new Map<SubmissionId, Progress>();
  const cancels: SubmissionId[] = [];
  owned.active = true;
  adoptLeases(owned, rows);
  for (const row of rows) {
    if (row.type === "worker") {
      registrationRead(turn, owned, row.report);
    } else if (row.type === "progress") {
      progress.set(row.progress.id, row.progress);
    } else if (row.type === "cancel") {
      cancels.push(row.id);
    } else if (row.type === "waveReport") {
      restoreWave(turn, owned, row);
    } else if (row.type === "evacuationReport") {
      owned.evacuationRecords.set(row.report.zone, { report: row.report, dirty: false });
    } else if (row.type === "runTimes") {
      owned.runTimes.restore(row.row, turn.nowMs, turn.wallMs);
    }
  }
  for (const row of rows) {
    if (row.type === "handIn") {
      const inherited = row.version <= owned.acquiredVersion;
      adoptSubmission(
        turn,
        row.submission,
        row.version,
        inherited,
        progress.get(row.submission.id) ?? null,
      );
    }
  }
  cancels.forEach((id) => {
    cancelSubmission(turn, id);
  });
  updateWithheldCharges(owned, owned.withheldItems.keys());
  logLine(turn, "info", "owner.loaded", {
    fence: Number(owned.fence),
    submissions: owned.submissions.size,
    workers: owned.workers.size,
    unfencedWorkers: owned.unfencedLeases.size,
    afterMs: Math.round(turn.nowMs - owned.acquiredAtMs),
  });
};

/**
 * Whether runs that a previous owner stopped may still be ending on a worker. They are in no list, so
 * their items must not start elsewhere yet.
 */
const mayBeStopping = (turn: Turn, owned: OwnedWork, id: WorkerId): boolean =>
  (owned.workers.get(id)?.capacityKnownAtMs ?? 0) > turn.nowMs;

/** Takes the newly fenced workers of which all runs are known. */
const takeResolvedWorkers = (turn: Turn, owned: OwnedWork): Set<WorkerId> => {
  const resolved = new Set<WorkerId>();
  for (const id of owned.newlyFenced) {
    if (!mayBeStopping(turn, owned, id)) {
      owned.newlyFenced.delete(id);
      resolved.add(id);
    }
  }
  return resolved;
};

/**
 * Releases withheld items once this owner would know of their runs: their worker has confirmed this
 * owner's fencing token and listed its runs, and stops by previous owners are over, or every lease of
 * theirs has expired.
 */
export const tickRecovery = (turn: Turn, owned: OwnedWork): void => {
  if (owned.unfencedLeases.size === 0) {
    return;
  }
  const leasesExpired = turn.nowMs - owned.acquiredAtMs > grantedLeaseMs(turn);
  const resolved = takeResolvedWorkers(turn, owned);
  if (leasesExpired) {
    expiredLeases(turn, owned).forEach((id) => resolved.add(id));
  }
  countSteps(turn, resolved.size);
  for (const id of resolved) {
    releaseLease(turn, owned, id);
  }
  if (resolved.size > 0 && owned.unfencedLeases.size === 0) {
    logLine(turn, "info", "owner.recovered", {
      leasesExpired,
      afterMs: Math.round(turn.nowMs - owned.acquiredAtMs),
    });
  }
};

/** Returns the unfenced workers on which every lease of previous owners has ended. */
const expiredLeases = (turn: Turn, owned: OwnedWork): WorkerId[] =>
  [...owned.unfencedLeases]
    .filter(([id, row]) => turn.nowMs > previousLeasesEndAtMs(turn, owned, id, row))
    .map(([id]) => id);

/** Releases the items that the previous owner's lease row of a worker lists. */
const releaseLease = (turn: Turn, owned: OwnedWork, id: WorkerId): void => {
  const leased = owned.unfencedLeases.get(id);
  if (leased === undefined) {
    return;
  }
  const items = leasedItems(leased);
  countSteps(turn, items.length + owned.unchargedWithheldItems.size);
  owned.unfencedLeases.delete(id);
  markLeaseChanged(owned, id);
  releaseItems(owned.withheldItems, id, items);
  updateWithheldCharges(owned, items);
  updateWithheldCharges(owned, [...owned.unchargedWithheldItems]);
  poolOf(owned, leased.pool).dirty = true;
};
