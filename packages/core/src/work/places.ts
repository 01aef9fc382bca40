import { lookedAt } from "./effort.js";
import { isReplaced } from "./hostWorkers.js";
import { isSilent } from "./leases.js";
import { chooseWorker, mayRunOn, type Search } from "./placement.js";
import { promiseRoom, RESOURCES, roomOf, withdrawRoom } from "./room.js";
import type { Item, OwnedWork, PoolWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";

/** Whether a worker accepts new work now. */
const isUsable = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  worker.listed &&
  worker.kindKnown &&
  worker.fenced &&
  !worker.unreachable &&
  worker.clock !== null &&
  !worker.report.draining &&
  worker.reservedFor === null &&
  !worker.departed &&
  !isReplaced(owned, worker) &&
  worker.restsUntilMs <= turn.nowMs &&
  worker.roomKnownAtMs <= turn.nowMs &&
  !isSilent(turn, worker);

/** Returns the workers of a pool that accept new work now. */
const usableWorkers = (turn: Turn, owned: OwnedWork, pool: PoolWork): Worker[] => {
  lookedAt(turn, pool.workers.size);
  return [...pool.workers].filter((worker) => isUsable(turn, owned, worker));
};

const reserve = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item): void => {
  promiseRoom(owned, worker, item);
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
  const worker = item.place === null ? undefined : owned.workers.get(item.place);
  if (worker?.promised.has(item) === true && isUsable(turn, owned, worker)) {
    return worker;
  }
  withdrawRoom(owned, item);
  return null;
};

/** Whether a worker has the capacity for all its runs and reservations now. */
const isReservationFree = (worker: Worker): boolean =>
  worker.usedCpuMilli <= worker.report.capacity.cpuMilli &&
  worker.usedMemoryMb <= worker.report.capacity.memoryMb &&
  worker.usedGpus <= worker.report.capacity.gpus;

/** Whether an item fits on a worker once the batch work there has ended. */
const fitsLater = (worker: Worker, item: Item): boolean => {
  const needs = roomOf(item.spec);
  return RESOURCES.every((resource) => {
    let reserved = needs[resource] + worker.lastingUse[resource];
    for (const other of worker.promised) {
      reserved += roomOf(other.spec)[resource];
    }
    return reserved <= worker.report.capacity[resource];
  });
};

/** Whether a worker has fewer reservations than another one, or as many and fewer runs. */
const isFreeSooner = (worker: Worker, other: Worker): boolean =>
  worker.promised.size === other.promised.size
    ? worker.runs.size < other.runs.size
    : worker.promised.size < other.promised.size;

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
export const keptPlace = (turn: Turn, owned: OwnedWork, item: Item): Worker | null => {
  const worker = reservedWorker(turn, owned, item);
  return worker !== null && isReservationFree(worker) ? worker : null;
};

/** Searches a pool for the worker that suits an item best now. */
export const findRoom = (turn: Turn, owned: OwnedWork, pool: PoolWork, item: Item): Search => {
  const candidates = pool.room.from(roomOf(item.spec).cpuMilli);
  const search = chooseWorker(candidates, item, (worker) => isUsable(turn, owned, worker));
  lookedAt(turn, 1 + search.lookedAt);
  return search;
};

/**
 * Reserves capacity that becomes free later for an item. This way long-running work restarts within
 * seconds even in a full pool.
 *
 * @returns Whether a worker will have the capacity.
 */
export const keepRoom = (turn: Turn, owned: OwnedWork, pool: PoolWork, item: Item): boolean => {
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
export const reserveNextPlace = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  item: Item,
): boolean => {
  if (reservedWorker(turn, owned, item) === null) {
    const { worker } = findRoom(turn, owned, pool, item);
    if (worker === null) {
      return keepRoom(turn, owned, pool, item) && keptPlace(turn, owned, item) !== null;
    }
    reserve(turn, owned, worker, item);
  }
  return keptPlace(turn, owned, item) !== null;
};
