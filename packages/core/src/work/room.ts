import type { Item, OwnedWork, Run, Worker } from "./state.js";
import type { Resources, StepSpec } from "./types.js";

/** The resources of a worker that work uses. */
export const RESOURCES = ["cpuMilli", "memoryMb", "gpus"] as const;

export const NO_ROOM: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/**
 * Returns the resources that an item of a step reserves on a worker. A filler reserves no
 * processor time.
 */
export const roomOf = (spec: StepSpec): Resources =>
  spec.filler ? { ...spec.needs, cpuMilli: 0 } : spec.needs;

/** Adds resources to those in use on a worker, or subtracts them. */
export const chargeRoom = (worker: Worker, resources: Resources, sign: 1 | -1): void => {
  worker.usedCpuMilli += sign * resources.cpuMilli;
  worker.usedMemoryMb += sign * resources.memoryMb;
  worker.usedGpus += sign * resources.gpus;
  worker.roomIndex?.changed(worker);
};

/** Adds the resources of a run to those in use on a worker, or subtracts them. */
export const chargeRun = (
  worker: Worker,
  { room: resources, share, item }: Run,
  sign: 1 | -1,
): void => {
  const { lasting } = item.spec;
  const use = lasting ? worker.lastingUse : worker.endingUse;
  worker.lastingRuns += lasting ? sign : 0;
  chargeRoom(worker, resources, sign);
  worker.endingHosts += lasting ? 0 : sign * share;
  for (const resource of RESOURCES) {
    use[resource] += sign * resources[resource];
  }
};

/** Whether nothing is known to run on a worker. */
export const runsNothing = ({ runs, strays }: Worker): boolean =>
  runs.size === 0 && strays.size === 0;

/**
 * Whether a worker has the capacity for all runs on it. Reservations for items that are not placed
 * yet do not count, since they use nothing so far.
 */
export const holdsRuns = (worker: Worker): boolean => {
  const used = {
    cpuMilli: worker.usedCpuMilli,
    memoryMb: worker.usedMemoryMb,
    gpus: worker.usedGpus,
  };
  return RESOURCES.every((resource) => {
    let usedByRuns = used[resource];
    for (const item of worker.promised) {
      usedByRuns -= roomOf(item.spec)[resource];
    }
    return usedByRuns <= worker.report.capacity[resource];
  });
};

/** Reserves capacity on a worker for an item, in place of an earlier reservation. */
export const promiseRoom = (owned: OwnedWork, worker: Worker, item: Item): void => {
  withdrawRoom(owned, item);
  item.place = worker.report.id;
  worker.promised.add(item);
  chargeRoom(worker, roomOf(item.spec), 1);
};

/** Releases the capacity reserved for an item, if any. */
export const withdrawRoom = (owned: OwnedWork, item: Item): void => {
  const worker = item.place === null ? undefined : owned.workers.get(item.place);
  item.place = null;
  if (worker?.promised.delete(item) === true) {
    chargeRoom(worker, roomOf(item.spec), -1);
  }
};
