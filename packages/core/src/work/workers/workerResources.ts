import type { Item, OwnedWork, Run, Worker } from "../state.js";
import type { Resources, StepSpec } from "../types.js";

/** The resources of a worker that work uses. */
export const RESOURCES = ["cpuMilli", "memoryMb", "gpus"] as const;

export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/**
 * Returns the resources that an item of a step reserves on a worker. A filler reserves no
 * processor time.
 */
export const reservedResources = (spec: StepSpec): Resources =>
  spec.filler ? { ...spec.needs, cpuMilli: 0 } : spec.needs;

/** Adds resources to those in use on a worker, or subtracts them. */
export const chargeResources = (worker: Worker, resources: Resources, sign: 1 | -1): void => {
  worker.usedCpuMilli += sign * resources.cpuMilli;
  worker.usedMemoryMb += sign * resources.memoryMb;
  worker.usedGpus += sign * resources.gpus;
  worker.capacityIndex?.update(worker);
};

/** Adds the resources of a run to those in use on a worker, or subtracts them. */
export const chargeRun = (worker: Worker, { resources, share, item }: Run, sign: 1 | -1): void => {
  const { lasting } = item.spec;
  const use = lasting ? worker.longRunningUse : worker.batchUse;
  worker.longRunningRuns += lasting ? sign : 0;
  chargeResources(worker, resources, sign);
  worker.batchHosts += lasting ? 0 : sign * share;
  for (const resource of RESOURCES) {
    use[resource] += sign * resources[resource];
  }
};

/** Whether nothing is known to run on a worker. */
export const runsNothing = ({ runs, orphanedRuns }: Worker): boolean =>
  runs.size === 0 && orphanedRuns.size === 0;

/**
 * Whether a worker has the capacity for all runs on it. Reservations for items that are not placed
 * yet do not count, since they use nothing so far.
 */
export const hasCapacityForRuns = (worker: Worker): boolean => {
  const used = {
    cpuMilli: worker.usedCpuMilli,
    memoryMb: worker.usedMemoryMb,
    gpus: worker.usedGpus,
  };
  return RESOURCES.every((resource) => {
    let usedByRuns = used[resource];
    for (const item of worker.reservedItems) {
      usedByRuns -= reservedResources(item.spec)[resource];
    }
    return usedByRuns <= worker.report.capacity[resource];
  });
};

/** Reserves capacity on a worker for an item, in place of an earlier reservation. */
export const reserveCapacity = (owned: OwnedWork, worker: Worker, item: Item): void => {
  releaseCapacity(owned, item);
  item.reservedWorker = worker.report.id;
  worker.reservedItems.add(item);
  chargeResources(worker, reservedResources(item.spec), 1);
};

/** Releases the capacity reserved for an item, if any. */
export const releaseCapacity = (owned: OwnedWork, item: Item): void => {
  const worker = item.reservedWorker === null ? undefined : owned.workers.get(item.reservedWorker);
  item.reservedWorker = null;
  if (worker?.reservedItems.delete(item) === true) {
    chargeResources(worker, reservedResources(item.spec), -1);
  }
};
