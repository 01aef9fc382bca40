import { STORE } from "./constants.js";
import type { RowName, RowToWrite } from "./events.js";
import { lateLeaseLeftMs, unknownLeaseEndsAtMs } from "./leaseTimes.js";
import { isStoppingRuns } from "./leases.js";
import { runsNothing } from "./workerResources.js";
import { markWorkerChanged } from "./workerTimers.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import type { Turn } from "./turn.js";
import { itemIndexOf, stepKeyOf, type LeasedWorker, type WorkerId } from "./types.js";

/** Changes to the lease rows of workers that one commit makes. */
export interface LeaseRowChanges {
  readonly writes: readonly RowToWrite[];
  readonly removes: readonly RowName[];
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
  };
};

/** Runs to start whose lease rows fit into the next commit, and those deferred to a later one. */
export interface SelectedStarts {
  readonly selected: readonly Run[];
  readonly workers: ReadonlySet<WorkerId>;
  readonly deferred: Run[];
}

/**
 * Selects the runs whose workers' lease rows fit into one commit.
 *
 * @param runs - Planned runs, in the order in which they were planned.
 */
export const selectStarts = (runs: readonly Run[]): SelectedStarts => {
  const workers = new Set<WorkerId>();
  const selected: Run[] = [];
  const deferred: Run[] = [];
  for (const run of runs) {
    if (workers.size < STORE.MAX_START_ROWS || workers.has(run.worker)) {
      workers.add(run.worker);
      selected.push(run);
    } else {
      deferred.push(run);
    }
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

/**
 * Builds the lease rows to write and to remove. The row of an unfenced worker stays as the previous
 * owner left it.
 *
 * @param ids - Workers whose rows are written.
 * @param writesAllEnds - Whether the commit records every known run end. Otherwise an item whose
 *   end is deferred to the next commit must stay in its lease row, or the next owner would assume
 *   that it never ran.
 */
export const leaseRowChanges = (
  turn: Turn,
  owned: OwnedWork,
  ids: readonly WorkerId[],
  writesAllEnds: boolean,
): LeaseRowChanges => {
  const writes: RowToWrite[] = [];
  const removes: RowName[] = [];
  for (const worker of ids.filter((id) => !owned.unfencedLeases.has(id))) {
    const current = leaseOf(turn, owned, worker);
    const lease = writesAllEnds ? current : mergeLeases(current, owned.leases.get(worker));
    if (writesAllEnds) {
      owned.changedLeases.delete(worker);
    }
    if (lease !== null) {
      owned.leases.set(worker, lease);
      writes.push({ type: "lease", worker, lease });
    } else if (owned.leases.delete(worker)) {
      removes.push({ type: "lease", worker });
    }
  }
  return { writes, removes };
};

/**
 * Returns workers whose lease rows are outdated. Unfenced workers are left out, since their rows
 * must not change yet.
 *
 * @param except - Workers whose rows the commit writes anyway.
 * @param maxCount - Most workers to return.
 */
export const staleLeases = (
  owned: OwnedWork,
  except: ReadonlySet<WorkerId>,
  maxCount: number,
): WorkerId[] => {
  const ids: WorkerId[] = [];
  for (const id of owned.changedLeases) {
    if (ids.length >= maxCount) {
      break;
    }
    if (!owned.unfencedLeases.has(id) && !except.has(id)) {
      ids.push(id);
    }
  }
  return ids;
};

/** Whether any lease row still has to be written. */
export const hasStaleLeases = (owned: OwnedWork): boolean =>
  staleLeases(owned, new Set(), 1).length > 0;
