import type { Item, OwnedWork, Run, Worker } from "./state.js";
import type { Resources, StepSpec } from "./types.js";

/** What work takes of a worker. */
export const RESOURCES = ["cpuMilli", "memoryMb", "gpus"] as const;

export const NO_ROOM: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/** @returns What an item of a step takes of a worker's room. */
export const roomOf = (spec: StepSpec): Resources =>
  spec.filler ? { ...spec.needs, cpuMilli: 0 } : spec.needs;

/** Takes room of a worker, or gives it back. */
export const chargeRoom = (worker: Worker, room: Resources, sign: 1 | -1): void => {
  worker.usedCpuMilli += sign * room.cpuMilli;
  worker.usedMemoryMb += sign * room.memoryMb;
  worker.usedGpus += sign * room.gpus;
  worker.roomIndex?.changed(worker);
};

/** Takes a run's room of a worker, or gives it back. */
export const chargeRun = (worker: Worker, { room, share, item }: Run, sign: 1 | -1): void => {
  const { lasting } = item.spec;
  const use = lasting ? worker.lastingUse : worker.endingUse;
  worker.lastingRuns += lasting ? sign : 0;
  chargeRoom(worker, room, sign);
  worker.endingHosts += lasting ? 0 : sign * share;
  for (const resource of RESOURCES) {
    use[resource] += sign * room[resource];
  }
};

/** @returns Whether nothing runs on a worker, as far as is known. */
export const runsNothing = ({ runs, strays }: Worker): boolean =>
  runs.size === 0 && strays.size === 0;

/**
 * Room that is kept for items which are yet to be placed takes nothing of a worker so far.
 *
 * @returns Whether a worker holds all that is booked on it.
 */
export const holdsRuns = (worker: Worker): boolean => {
  const used = {
    cpuMilli: worker.usedCpuMilli,
    memoryMb: worker.usedMemoryMb,
    gpus: worker.usedGpus,
  };
  return RESOURCES.every((resource) => {
    let taken = used[resource];
    for (const item of worker.promised) {
      taken -= roomOf(item.spec)[resource];
    }
    return taken <= worker.report.capacity[resource];
  });
};

/** Keeps room on a worker for an item; no other work takes it. */
export const promiseRoom = (owned: OwnedWork, worker: Worker, item: Item): void => {
  withdrawRoom(owned, item);
  item.place = worker.report.id;
  worker.promised.add(item);
  chargeRoom(worker, roomOf(item.spec), 1);
};

/** Gives up the room that is kept for an item, if any. */
export const withdrawRoom = (owned: OwnedWork, item: Item): void => {
  const worker = item.place === null ? undefined : owned.workers.get(item.place);
  item.place = null;
  if (worker?.promised.delete(item) === true) {
    chargeRoom(worker, roomOf(item.spec), -1);
  }
};
