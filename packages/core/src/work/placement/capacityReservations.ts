import { countSteps } from "../handlingCost.js";
import { chooseWorker, mayRunOn, type WorkerSearch } from "./placement.js";
import {
  reserveCapacity,
  RESOURCES,
  reservedResources,
  releaseCapacity,
} from "../workers/workerResources.js";
import type { Item, OwnedWork, PoolWork, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import { isUsable } from "../workers/workerAvailability.js";

/** Returns the workers of a pool that accept new work now. */
const usableWorkers = (turn: Turn, owned: OwnedWork, pool: PoolWork): Worker[] => {
  countSteps(turn, pool.workers.size);
  return [...pool.workers].filter((worker) => isUsable(turn, owned, worker));
};

const reserve = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item): void => {
  reserveCapacity(owned, worker, item);
  logLine(turn, "info", "capacity.reserved", {
    item: item.key,
    worker: worker.report.id,
    usedCpuMilli: worker.usedCpuMilli,
    usedMemoryMb: worker.usedMemoryMb,
  });
};

/**
 * Returns the worker on which capacity is reserved for an item. If that worker accepts no new work,
 * releases the reservation and returns null.
 */
const reservedWorker = (turn: Turn, owned: OwnedWork, item: Item): Worker | null => {
  const worker = item.reservedWorker === null ? undefined : owned.workers.get(item.reservedWorker);
  if (worker?.reservedItems.has(item) === true && isUsable(turn, owned, worker)) {
    return worker;
  }
  releaseCapacity(owned, item);
  return null;
};

/** Whether a worker has the capacity for all its runs and reservations now. */
const isReservationFree = (worker: Worker): boolean =>
  worker.usedCpuMilli <= worker.report.capacity.cpuMilli &&
  worker.usedMemoryMb <= worker.report.capacity.memoryMb &&
  worker.usedGpus <= worker.report.capacity.gpus;

/** Whether an item fits on a worker once the batch work there has ended. */
const fitsLater = (worker: Worker, item: Item): boolean => {
  const needs = reservedResources(item.spec);
  return RESOURCES.every((resource) => {
    let reserved = needs[resource] + worker.longRunningUse[resource];
    for (const other of worker.reservedItems) {
      reserved += reservedResources(other.spec)[resource];
    }
    return reserved <= worker.report.capacity[resource];
  });
};

/** Whether a worker has fewer reservations than another one, or as many and fewer runs. */
const isFreeSooner = (worker: Worker, other: Worker): boolean =>
  worker.reservedItems.size === other.reservedItems.size
    ? worker.runs.size < other.runs.size
    : worker.reservedItems.size < other.reservedItems.size;

/** Returns the worker expected to have the capacity for an item soonest, or null if none will. */
const chooseLater = (workers: readonly Worker[], item: Item): Worker | null => {
  let best: Worker | null = null;
  for (const worker of workers) {
    const sooner = best === null || isFreeSooner(worker, best);
    if (sooner && mayRunOn(worker, item) && fitsLater(worker, item)) {
      best = worker;
    }
  }
  return best;
};

/** Returns the worker on which the capacity reserved for an item is free now, or null. */
export const freeReservedWorker = (turn: Turn, owned: OwnedWork, item: Item): Worker | null => {
  const worker = reservedWorker(turn, owned, item);
  return worker !== null && isReservationFree(worker) ? worker : null;
};

/** Searches a pool for the worker that suits an item best now. */
export const findWorker = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  item: Item,
): WorkerSearch => {
  const candidates = pool.capacityIndex.withFreeCpu(reservedResources(item.spec).cpuMilli);
  const search = chooseWorker(candidates, item, turn.nowMs, (worker) =>
    isUsable(turn, owned, worker),
  );
  countSteps(turn, 1 + search.workersChecked);
  return search;
};

/**
 * Reserves capacity that becomes free later for an item. This way long-running work restarts within
 * seconds even in a full pool.
 *
 * @returns Whether a worker will have the capacity.
 */
export const reserveFutureCapacity = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  item: Item,
): boolean => {
  const later = chooseLater(usableWorkers(turn, owned, pool), item);
  if (later !== null) {
    reserve(turn, owned, later, item);
  }
  return later !== null;
};

/**
 * Reserves capacity on another worker for an item that is to be moved.
 *
 * @param pool - The pool to search. The item's current worker accepts no new work.
 * @returns Whether the item can start there at once.
 */
export const reserveForMove = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  item: Item,
): boolean => {
  if (reservedWorker(turn, owned, item) === null) {
    const { worker } = findWorker(turn, owned, pool, item);
    if (worker === null) {
      return (
        reserveFutureCapacity(turn, owned, pool, item) &&
        freeReservedWorker(turn, owned, item) !== null
      );
    }
    reserve(turn, owned, worker, item);
  }
  return freeReservedWorker(turn, owned, item) !== null;
};
