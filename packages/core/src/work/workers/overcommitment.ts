import { RESOURCES, reservedResources } from "./workerResources.js";
import type { OwnedWork, Worker } from "../state.js";
import { specOf } from "../submissions/itemLookup.js";
import { logLine, type Turn } from "../turn.js";
import type { Resources, RunningLine } from "../types.js";

/** Resources that the runs listed by a worker use. */
interface ListedUse {
  readonly resources: Resources;
  /** Runs of submissions unknown to the owner, whose resources can't be determined. */
  readonly unknownRuns: number;
}

/** Returns the resources that a listed run uses; null if they are unknown. */
const resourcesOfLine = (
  owned: OwnedWork,
  { runs }: Worker,
  { item }: RunningLine,
): Resources | null => {
  const booked = runs.get(item);
  if (booked !== undefined) {
    return booked.resources;
  }
  const spec = specOf(owned, item);
  return spec === null ? null : reservedResources(spec);
};

const listedUse = (
  owned: OwnedWork,
  worker: Worker,
  running: readonly RunningLine[],
): ListedUse => {
  const resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  let unknownRuns = 0;
  for (const line of running) {
    const used = resourcesOfLine(owned, worker, line);
    if (used === null) {
      unknownRuns += 1;
      continue;
    }
    for (const resource of RESOURCES) {
      resources[resource] += used[resource];
    }
  }
  return { resources, unknownRuns };
};

/** Logs a warning, with the worker's bookings, if its listed runs need more than its capacity. */
export const logOvercommitment = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  running: readonly RunningLine[],
): void => {
  const { capacity, id } = worker.report;
  const { resources, unknownRuns } = listedUse(owned, worker, running);
  if (RESOURCES.every((resource) => resources[resource] <= capacity[resource])) {
    return;
  }
  logLine(turn, "warn", "worker.overcommitted", {
    worker: id,
    listedRuns: running.length,
    unknownRuns,
    listedCpuMilli: resources.cpuMilli,
    listedMemoryMb: resources.memoryMb,
    listedGpus: resources.gpus,
    usedCpuMilli: worker.usedCpuMilli,
    usedMemoryMb: worker.usedMemoryMb,
    usedGpus: worker.usedGpus,
    cpuMilli: capacity.cpuMilli,
    memoryMb: capacity.memoryMb,
    gpus: capacity.gpus,
    runs: worker.runs.size,
    orphanedRuns: worker.orphanedRuns.size,
    fence: Number(owned.fence),
  });
};
