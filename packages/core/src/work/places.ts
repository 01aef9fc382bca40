import { lookedAt } from "./effort.js";
import { isReplaced } from "./hostWorkers.js";
import { isSilent } from "./leases.js";
import { chooseWorker, mayRunOn, type Search } from "./placement.js";
import { promiseRoom, RESOURCES, roomOf, withdrawRoom } from "./room.js";
import type { Item, OwnedWork, PoolWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";

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

/** @returns Workers of a pool that take new work now. */
const usableWorkers = (turn: Turn, owned: OwnedWork, pool: PoolWork): Worker[] => {
  lookedAt(turn, pool.workers.size);
  return [...pool.workers].filter((worker) => isUsable(turn, owned, worker));
};

const promise = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item): void => {
  promiseRoom(owned, worker, item);
  logLine(turn, "info", "room.promised", {
    item: item.key,
    worker: worker.report.id,
    usedCpuMilli: worker.usedCpuMilli,
    usedMemoryMb: worker.usedMemoryMb,
  });
};

/** @returns The worker that keeps room for an item, if it takes work; else the item keeps no room. */
const promisedPlace = (turn: Turn, owned: OwnedWork, item: Item): Worker | null => {
  const worker = item.place === null ? undefined : owned.workers.get(item.place);
  if (worker?.promised.has(item) === true && isUsable(turn, owned, worker)) {
    return worker;
  }
  withdrawRoom(owned, item);
  return null;
};

const roomIsFree = (worker: Worker): boolean =>
  worker.usedCpuMilli <= worker.report.capacity.cpuMilli &&
  worker.usedMemoryMb <= worker.report.capacity.memoryMb &&
  worker.usedGpus <= worker.report.capacity.gpus;

/** @returns Whether an item fits on a worker once all that ends there has ended. */
const fitsLater = (worker: Worker, item: Item): boolean => {
  const needs = roomOf(item.spec);
  return RESOURCES.every((resource) => {
    let kept = needs[resource] + worker.lastingUse[resource];
    for (const other of worker.promised) {
      kept += roomOf(other.spec)[resource];
    }
    return kept <= worker.report.capacity[resource];
  });
};

const comesFreeBefore = (worker: Worker, other: Worker): boolean =>
  worker.promised.size === other.promised.size
    ? worker.runs.size < other.runs.size
    : worker.promised.size < other.promised.size;

/** @returns The worker on which room for an item comes free soonest, or null. */
const chooseLater = (workers: readonly Worker[], item: Item): Worker | null => {
  let best: Worker | null = null;
  for (const worker of workers) {
    const sooner = best === null || comesFreeBefore(worker, best);
    if (sooner && mayRunOn(worker, item) && fitsLater(worker, item)) {
      best = worker;
    }
  }
  return best;
};

/** @returns The worker on which the room that is kept for an item is free by now, or null. */
export const keptPlace = (turn: Turn, owned: OwnedWork, item: Item): Worker | null => {
  const promised = promisedPlace(turn, owned, item);
  return promised !== null && roomIsFree(promised) ? promised : null;
};

/** @returns The worker of a pool that suits an item best now. */
export const findRoom = (turn: Turn, owned: OwnedWork, pool: PoolWork, item: Item): Search => {
  const mayFit = pool.room.from(roomOf(item.spec).cpuMilli);
  const search = chooseWorker(mayFit, item, (worker) => isUsable(turn, owned, worker));
  lookedAt(turn, 1 + search.lookedAt);
  return search;
};

/**
 * Keeps what comes free on a worker for an item. Work that lasts is restarted within seconds however
 * full its pool is.
 *
 * @returns Whether a worker will have room for it.
 */
export const keepRoom = (turn: Turn, owned: OwnedWork, pool: PoolWork, item: Item): boolean => {
  const later = chooseLater(usableWorkers(turn, owned, pool), item);
  if (later !== null) {
    promise(turn, owned, later, item);
  }
  return later !== null;
};

/**
 * Keeps room elsewhere for an item that is to be moved.
 *
 * @param pool - Of which another worker is to have it; its own takes no new work.
 * @returns Whether it can start there at once.
 */
export const reserveNextPlace = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  item: Item,
): boolean => {
  if (promisedPlace(turn, owned, item) === null) {
    const { worker } = findRoom(turn, owned, pool, item);
    if (worker === null) {
      return keepRoom(turn, owned, pool, item) && keptPlace(turn, owned, item) !== null;
    }
    promise(turn, owned, worker, item);
  }
  return keptPlace(turn, owned, item) !== null;
};
