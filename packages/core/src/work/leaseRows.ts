import { STORE } from "./constants.js";
import type { RowName, RowToWrite } from "./events.js";
import { hasStops } from "./leases.js";
import { runsNothing } from "./room.js";
import { workerChanged } from "./workerTimers.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import { itemIndexOf, stepNameOf, type LeasedWorker, type WorkerId } from "./types.js";

/** What a write says of workers. */
export interface LeaseRows {
  readonly writes: readonly RowToWrite[];
  readonly removes: readonly RowName[];
}

/** Notes that other work may run on a worker than its row says. */
export const leaseChanged = (owned: OwnedWork, worker: WorkerId): void => {
  owned.leaseChanges.add(worker);
  const known = owned.workers.get(worker);
  if (known !== undefined) {
    workerChanged(owned, known);
  }
};

const namesOf = (worker: Worker): Record<string, number[]> => {
  const items: Record<string, number[]> = {};
  const own = [...worker.runs.values()].map(({ item }) => item.key);
  const strays = [...worker.strays.values()].map(({ item }) => item);
  for (const key of new Set([...own, ...strays])) {
    const index = itemIndexOf(key);
    if (Number.isInteger(index)) {
      (items[stepNameOf(key)] ??= []).push(index);
    }
  }
  return items;
};

/** @returns What may run on a worker; null where nothing may. */
const leaseOf = (owned: OwnedWork, id: WorkerId): LeasedWorker | null => {
  const worker = owned.workers.get(id);
  if (worker === undefined || runsNothing(worker)) {
    return null;
  }
  return {
    pool: worker.report.pool,
    items: namesOf(worker),
    stopping: hasStops(worker),
  };
};

/** Runs that one write names, and those that wait for the next. */
export interface ChosenStarts {
  readonly named: readonly Run[];
  readonly workers: ReadonlySet<WorkerId>;
  readonly waiting: Run[];
}

/**
 * Chooses of the runs that are to be ordered those on as many workers as one write may name.
 *
 * @param runs - Runs that wait to be named, in their order.
 */
export const chooseStarts = (runs: readonly Run[]): ChosenStarts => {
  const workers = new Set<WorkerId>();
  const named: Run[] = [];
  const waiting: Run[] = [];
  for (const run of runs) {
    if (workers.size < STORE.MAX_START_ROWS || workers.has(run.worker)) {
      workers.add(run.worker);
      named.push(run);
    } else {
      waiting.push(run);
    }
  }
  return { named, workers, waiting };
};

const joinNames = (
  one: LeasedWorker["items"],
  other: LeasedWorker["items"],
): LeasedWorker["items"] => {
  const joined: Record<string, readonly number[]> = { ...one };
  for (const [step, indexes] of Object.entries(other)) {
    joined[step] = [...new Set([...(joined[step] ?? []), ...indexes])];
  }
  return joined;
};

/** Names what the row of a worker names so far beside what may run there now. */
const widen = (now: LeasedWorker | null, before: LeasedWorker | undefined): LeasedWorker | null => {
  if (now === null || before === undefined) {
    return now ?? before ?? null;
  }
  return { ...now, items: joinNames(before.items, now.items) };
};

/**
 * Makes the rows of workers. The row of a worker that was not heard yet stays as the owner before
 * left it.
 *
 * @param ids - Workers whose rows are written.
 * @param leavesNone - The write holds every end that is known. Else an item whose end is left for
 *   the next write has to stay named, or a successor would take it for one that never ran.
 */
export const leaseRows = (
  owned: OwnedWork,
  ids: readonly WorkerId[],
  leavesNone: boolean,
): LeaseRows => {
  const writes: RowToWrite[] = [];
  const removes: RowName[] = [];
  for (const worker of ids.filter((id) => !owned.unheard.has(id))) {
    const now = leaseOf(owned, worker);
    const lease = leavesNone ? now : widen(now, owned.leases.get(worker));
    if (leavesNone) {
      owned.leaseChanges.delete(worker);
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
 * @param except - Workers that are written in any case.
 * @param most - Bound on the result.
 * @returns Workers whose rows say something else than what may run there.
 */
export const staleLeases = (
  owned: OwnedWork,
  except: ReadonlySet<WorkerId>,
  most: number,
): WorkerId[] => {
  const ids: WorkerId[] = [];
  for (const id of owned.leaseChanges) {
    if (ids.length >= most) {
      break;
    }
    if (!owned.unheard.has(id) && !except.has(id)) {
      ids.push(id);
    }
  }
  return ids;
};

/** @returns Whether some row of a worker still has to be written. */
export const hasStaleLeases = (owned: OwnedWork): boolean =>
  staleLeases(owned, new Set(), 1).length > 0;
