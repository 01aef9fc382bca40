import { countSteps } from "../handlingCost.js";
import { RESOURCES } from "../workers/workerResources.js";
import type { Item, PoolWork, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { Resources } from "../types.js";

/** Use of each resource by batch work, relative to the resource that it uses most of. */
type ResourceMix = Readonly<Record<(typeof RESOURCES)[number], number>>;

const EVEN_MIX: ResourceMix = { cpuMilli: 1, memoryMb: 1, gpus: 1 };

/** Resource use of the running batch work of a pool. */
export interface RunningWork {
  /** Hosts that it occupies. */
  readonly hosts: number;
  readonly mix: ResourceMix;
}

/** Returns the resource use of the running batch work of a pool. */
export const runningWorkIn = (turn: Turn, pool: PoolWork, host: Resources): RunningWork => {
  const used = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  let hosts = 0;
  countSteps(turn, pool.workers.size);
  for (const { batchUse, batchHosts } of pool.workers) {
    hosts += batchHosts;
    for (const resource of RESOURCES) {
      used[resource] += batchUse[resource] / Math.max(1, host[resource]);
    }
  }
  const most = Math.max(used.cpuMilli, used.memoryMb, used.gpus);
  if (most === 0) {
    return { hosts, mix: EVEN_MIX };
  }
  const { cpuMilli, memoryMb, gpus } = used;
  return {
    hosts,
    mix: { cpuMilli: cpuMilli / most, memoryMb: memoryMb / most, gpus: gpus / most },
  };
};

const isInTime = (turn: Turn, { submission, occurrence }: Item): boolean =>
  (submission.occurrences.get(occurrence)?.dueAtMs ?? Infinity) > turn.nowMs;

/** Returns the hosts that running batch work whose deadline has not passed occupies. */
export const runningOnScheduleHosts = (turn: Turn, pool: PoolWork): number => {
  let hosts = 0;
  for (const worker of pool.workers) {
    countSteps(turn, 1 + worker.runs.size);
    for (const { item, share } of worker.runs.values()) {
      hosts += !item.spec.lasting && isInTime(turn, item) ? share : 0;
    }
  }
  return hosts;
};

/** Returns the fraction of a worker's host that batch work can use beside long-running work. */
export const batchFraction = ({ longRunningUse, report }: Worker, mix: ResourceMix): number => {
  let fraction = 1;
  for (const resource of RESOURCES) {
    if (mix[resource] > 0 && report.capacity[resource] > 0) {
      fraction = Math.min(
        fraction,
        (1 - longRunningUse[resource] / report.capacity[resource]) / mix[resource],
      );
    }
  }
  return Math.max(0, fraction);
};
