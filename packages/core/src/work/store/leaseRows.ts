import type { CommitBudget } from "../ownership/commitBudget.js";
import { LEASE_ROW, STORE } from "../constants.js";
import { base64Bytes } from "./storedSize.js";
import type { RowName, RowToWrite } from "../events.js";
import { lateLeaseLeftMs, leaseTermMs, unknownLeaseEndsAtMs } from "../workers/leaseTimes.js";
import { isStoppingRuns } from "../workers/leases.js";
import { runsNothing } from "../workers/workerResources.js";
import { markWorkerChanged } from "../workers/workerTimers.js";
import type { OwnedWork, Run, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import { itemIndexOf, stepKeyOf, type LeasedWorker, type WorkerId } from "../types.js";

/** Changes to the lease rows of workers that one commit makes. */
export interface LeaseRowChanges {
  readonly writes: readonly RowToWrite[];
  readonly removes: readonly RowName[];
  /** The rows as they were stored before; null for a worker without one. */
  readonly previous: ReadonlyMap<WorkerId, LeasedWorker | null>;
}

/** Marks a worker's lease row as outdated: what may run there differs from what the row lists. */
export const markLeaseChanged = (owned: OwnedWork, worker: WorkerId): void => {
  owned.changedLeases.add(worker);
  const known = owned.workers.get(worker);
  if (known !== undefined) {
    markWorkerChanged(owned, known);
  }
};

/** Returns the item indexes by step of everything that may run on a worker. */
const itemIndexesOf = (worker: Worker): Record<string, number[]> => {
  const items: Record<string, number[]> = {};
  const own = [...worker.runs.values()].map(({ item }) => item.key);
  const orphaned = [...worker.orphanedRuns.values()].map(({ item }) => item);
  for (const key of new Set([...own, ...orphaned])) {
    const index = itemIndexOf(key);
    if (Number.isInteger(index)) {
      (items[stepKeyOf(key)] ??= []).push(index);
    }
  }
  return items;
};

/**
 * Returns the lease row that a worker needs now; null if nothing may run there, and no order that
 * grants a lease can reach its next incarnation unknown to the next owner.
 */
const leaseOf = (turn: Turn, owned: OwnedWork, id: WorkerId): LeasedWorker | null => {
  const worker = owned.workers.get(id);
  if (worker === undefined) {
    return null;
  }
  if (runsNothing(worker) && unknownLeaseEndsAtMs(turn, worker) <= turn.nowMs) {
    return null;
  }
  return {
    pool: worker.report.pool,
    items: itemIndexesOf(worker),
    stopping: isStoppingRuns(worker),
    startWallMs: worker.report.startWallMs,
    lateLeaseMs: lateLeaseLeftMs(turn, worker),
    leaseTermMs: leaseTermMs(turn),
  };
};

/** Runs to start whose lease rows fit into the next commit, and those deferred to a later one. */
export interface SelectedStarts {
  readonly selected: readonly Run[];
  readonly workers: ReadonlySet<WorkerId>;
  readonly deferred: Run[];
}

/** Returns the number of items that a lease row lists. */
const itemCount = (lease: LeasedWorker | null): number =>
  lease === null ? 0 : Object.values(lease.items).reduce((sum, indexes) => sum + indexes.length, 0);

/** Returns the most bytes that the next lease row of a worker has in the store. */
const maxLeaseBytes = (owned: OwnedWork, id: WorkerId): number => {
  const worker = owned.workers.get(id);
  const current = (worker?.runs.size ?? 0) + (worker?.orphanedRuns.size ?? 0);
  const items = current + itemCount(owned.leases.get(id) ?? null);
  return base64Bytes(LEASE_ROW.BASE_BYTES + items * LEASE_ROW.ITEM_BYTES);
};

/**
 * Selects the runs whose workers' lease rows fit into one commit.
 *
 * @param runs - Planned runs, in the order in which they were planned.
 * @param budget - What still fits into the commit; the rows of the workers are taken from it.
 */
export const selectStarts = (
  owned: OwnedWork,
  runs: readonly Run[],
  budget: CommitBudget,
): SelectedStarts => {
  const workers = new Set<WorkerId>();
  const selected: Run[] = [];
  const deferred: Run[] = [];
  let bytesLeft: number = STORE.MAX_START_BYTES;
  const isSelected = (id: WorkerId): boolean => {
    const bytes = maxLeaseBytes(owned, id);
    const fits =
      workers.has(id) ||
      (workers.size < STORE.MAX_START_ROWS && bytes <= bytesLeft && budget.reserveWrite(bytes));
    if (fits && !workers.has(id)) {
      workers.add(id);
      bytesLeft -= bytes;
    }
    return fits;
  };
  for (const run of runs) {
    (isSelected(run.worker) ? selected : deferred).push(run);
  }
  return { selected, workers, deferred };
};

const mergeItems = (
  one: LeasedWorker["items"],
  other: LeasedWorker["items"],
): LeasedWorker["items"] => {
  const joined: Record<string, readonly number[]> = { ...one };
  for (const [step, indexes] of Object.entries(other)) {
    joined[step] = [...new Set([...(joined[step] ?? []), ...indexes])];
  }
  return joined;
};

/** Merges what a worker's lease row lists so far with what may run there now. */
const mergeLeases = (
  current: LeasedWorker | null,
  previous: LeasedWorker | undefined,
): LeasedWorker | null => {
  if (current === null || previous === undefined) {
    return current ?? previous ?? null;
  }
  return { ...current, items: mergeItems(previous.items, current.items) };
};

/** Changes the commit's view of a worker's lease row, and returns what was stored before. */
const recordLease = (
  owned: OwnedWork,
  worker: WorkerId,
  lease: LeasedWorker | null,
): LeasedWorker | null => {
  const previous = owned.leases.get(worker) ?? null;
  if (lease === null) {
    owned.leases.delete(worker);
  } else {
    owned.leases.set(worker, lease);
  }
  return previous;
};

/**
 * Builds the lease rows to write and to remove. The row of an unfenced worker stays as the previous
 * owner left it.
 *
 * @param starting - Workers with new runs, whose rows the budget already contains.
 * @param budget - What still fits into the commit.
 * @param writesAllEnds - Whether the commit records every known run end. Otherwise an item whose
 *   end is deferred to the next commit must stay in its lease row, or the next owner would assume
 *   that it never ran.
 */
export const leaseRowChanges = (
  turn: Turn,
  owned: OwnedWork,
  starting: ReadonlySet<WorkerId>,
  budget: CommitBudget,
  writesAllEnds: boolean,
): LeaseRowChanges => {
  const writes: RowToWrite[] = [];
  const removes: RowName[] = [];
  const previous = new Map<WorkerId, LeasedWorker | null>();
  for (const worker of new Set([...starting, ...staleLeases(owned)])) {
    if (owned.unfencedLeases.has(worker)) {
      continue;
    }
    const current = leaseOf(turn, owned, worker);
    const lease = writesAllEnds ? current : mergeLeases(current, owned.leases.get(worker));
    const row: RowToWrite | null = lease === null ? null : { type: "lease", worker, lease };
    if (row === null && !owned.leases.has(worker)) {
      owned.changedLeases.delete(worker);
      continue;
    }
    if (!starting.has(worker) && !(row === null ? budget.takeRemove() : budget.takeWrite(row))) {
      break;
    }
    if (writesAllEnds) {
      owned.changedLeases.delete(worker);
    }
    previous.set(worker, recordLease(owned, worker, lease));
    const known = owned.workers.get(worker);
    if (known !== undefined) {
      known.recordedItems = itemCount(lease);
    }
    if (row === null) {
      removes.push({ type: "lease", worker });
    } else {
      writes.push(row);
    }
  }
  return { writes, removes, previous };
};

/**
 * Returns the workers whose lease rows are outdated. Unfenced workers are left out, since their
 * rows must not change yet.
 */
const staleLeases = (owned: OwnedWork): WorkerId[] =>
  [...owned.changedLeases].filter((id) => !owned.unfencedLeases.has(id));

/** Whether any lease row still has to be written. */
export const hasStaleLeases = (owned: OwnedWork): boolean => staleLeases(owned).length > 0;
