import { lookedAt } from "./effort.js";
import { isReplaced } from "./hostWorkers.js";
import { isSilent } from "./leases.js";
import { chooseWorker, mayRunOn } from "./placement.js";
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
export const usableWorkers = (turn: Turn, owned: OwnedWork, pool: PoolWork): Worker[] => {
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

/** @returns The worker that keeps room for an item, among those that take work. */
const promisedPlace = (workers: readonly Worker[], item: Item): Worker | null =>
  item.place === null ? null : (workers.find(({ promised }) => promised.has(item)) ?? null);

const roomIsFree = (worker: Worker): boolean =>
  worker.usedCpuMilli <= worker.report.capacity.cpuMilli &&
  worker.usedMemoryMb <= worker.report.capacity.memoryMb &&
  worker.usedGpus <= worker.report.capacity.gpus;

/** @returns Whether an item fits on a worker once all that ends there has ended. */
const fitsLater = (worker: Worker, item: Item): boolean => {
  const needs = roomOf(item.spec);
  return RESOURCES.every((resource) => {
    let kept = needs[resource];
    for (const run of worker.runs.values()) {
      kept += run.item.spec.lasting ? run.room[resource] : 0;
    }
    for (const other of worker.promised) {
      kept += roomOf(other.spec)[resource];
    }
    return kept <= worker.report.capacity[resource];
  });
};

/** @returns The worker on which room for an item comes free soonest, or null. */
const chooseLater = (workers: readonly Worker[], item: Item): Worker | null => {
  let best: Worker | null = null;
  for (const worker of workers) {
    const fewer = best === null || worker.runs.size < best.runs.size;
    if (fewer && mayRunOn(worker, item) && fitsLater(worker, item)) {
      best = worker;
    }
  }
  return best;
};

/**
 * Finds room for an item. Work that lasts is restarted within seconds however full its pool is, so
 * where none has room, a worker keeps free what comes free there.
 *
 * @param workers - Those that take work.
 * @returns The worker to start it on, or null where it has to wait.
 */
export const findRoom = (
  turn: Turn,
  owned: OwnedWork,
  workers: readonly Worker[],
  item: Item,
): Worker | null => {
  const promised = promisedPlace(workers, item);
  if (promised !== null) {
    return roomIsFree(promised) ? promised : null;
  }
  withdrawRoom(owned, item);
  lookedAt(turn, workers.length);
  const worker = chooseWorker(workers, item, roomOf(item.spec));
  if (worker === null && item.spec.lasting) {
    const later = chooseLater(workers, item);
    if (later !== null) {
      promise(turn, owned, later, item);
    }
  }
  return worker;
};

/**
 * Keeps room elsewhere for an item that is to be moved.
 *
 * @param workers - Those that take work.
 * @returns Whether it can start there at once.
 */
export const reserveNextPlace = (
  turn: Turn,
  owned: OwnedWork,
  workers: readonly Worker[],
  item: Item,
): boolean => {
  if (promisedPlace(workers, item) === null) {
    withdrawRoom(owned, item);
    const worker = chooseWorker(workers, item, roomOf(item.spec)) ?? chooseLater(workers, item);
    if (worker === null) {
      return false;
    }
    promise(turn, owned, worker, item);
  }
  const place = promisedPlace(workers, item);
  return place !== null && roomIsFree(place);
};
