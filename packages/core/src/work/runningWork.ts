import { shareOf } from "./arrivals.js";
import { lookedAt } from "./effort.js";
import { RESOURCES } from "./room.js";
import type { Item, PoolWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";
import type { Resources } from "./types.js";

/** How much of each resource work that ends takes, for each host that it fills. */
type Mix = Readonly<Record<(typeof RESOURCES)[number], number>>;

const EVEN_MIX: Mix = { cpuMilli: 1, memoryMb: 1, gpus: 1 };

/** What running work that ends takes of a pool. */
export interface RunningWork {
  readonly hosts: number;
  readonly inTimeHosts: number;
  readonly mix: Mix;
}

const isInTime = (turn: Turn, { submission, occurrence }: Item): boolean =>
  (submission.occurrences.get(occurrence)?.dueAtMs ?? Infinity) > turn.nowMs;

/** @returns What running work that ends takes of the pool's hosts. */
export const runningIn = (turn: Turn, pool: PoolWork, host: Resources): RunningWork => {
  const used = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  let hosts = 0;
  let inTimeHosts = 0;
  for (const worker of pool.workers) {
    lookedAt(turn, 1 + worker.runs.size);
    for (const { item, room } of worker.runs.values()) {
      if (!item.spec.lasting) {
        const share = shareOf(room, host);
        hosts += share;
        inTimeHosts += isInTime(turn, item) ? share : 0;
        for (const resource of RESOURCES) {
          used[resource] += room[resource] / Math.max(1, host[resource]);
        }
      }
    }
  }
  const most = Math.max(used.cpuMilli, used.memoryMb, used.gpus);
  if (most === 0) {
    return { hosts, inTimeHosts, mix: EVEN_MIX };
  }
  const { cpuMilli, memoryMb, gpus } = used;
  const mix = { cpuMilli: cpuMilli / most, memoryMb: memoryMb / most, gpus: gpus / most };
  return { hosts, inTimeHosts, mix };
};

/** @returns The part of a worker's host that work which ends can have beside what lasts there. */
export const roomForEnding = ({ runs, report }: Worker, mix: Mix): number => {
  let part = 1;
  for (const resource of RESOURCES) {
    let lasting = 0;
    for (const { item, room } of runs.values()) {
      lasting += item.spec.lasting ? room[resource] : 0;
    }
    if (mix[resource] > 0 && report.capacity[resource] > 0) {
      part = Math.min(part, (1 - lasting / report.capacity[resource]) / mix[resource]);
    }
  }
  return Math.max(0, part);
};
