import type { PoolId } from "@heatherferry/common";
import { arrivingHosts, hostRoom, shareOf } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { isReplaced } from "./hostWorkers.js";
import { withinCeiling } from "./placement.js";
import { RESOURCES, roomOf } from "./room.js";
import { prospectOf } from "./ranking.js";
import type { Item, OwnedWork, PoolWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import type { Resources } from "./types.js";

/** What a pool asks for and has, counted in hosts by whichever resource is scarcest. */
export interface Demand {
  readonly pool: PoolWork;
  readonly openWorkers: readonly Worker[];
  /** Hosts that running work which ends keeps busy. */
  readonly runningHosts: number;
  /** The part of them whose work can be in time. */
  readonly runningInTimeHosts: number;
  /** Hosts that would work off in time what waits for room. */
  readonly waitingHosts: number;
  /** The part of them whose work can be in time. */
  readonly waitingInTimeHosts: number;
  /** Hosts that work keeps busy which arrives at the present rate. */
  readonly arrivingHosts: number;
  /** Workers that a step with a bound a worker still misses. */
  readonly spreadShort: number;
  /** Hosts that its workers are for work that ends, with hosts on their way. */
  readonly hosts: number;
  readonly comingHosts: number;
}

const comingHosts = (owned: OwnedWork, pool: PoolId): number => {
  let count = 0;
  for (const move of owned.moves.values()) {
    if (move.to === pool) {
      count += 1;
    }
  }
  for (const drain of owned.drains.values()) {
    if (drain.to === pool) {
      count += 1;
    }
  }
  return count;
};

/**
 * A worker that came just now is about to answer; one that has not after that is gone, and its
 * entry is left over.
 */
const answers = (turn: Turn, worker: Worker): boolean =>
  worker.fenced ? !worker.unreachable : turn.nowMs - worker.enlistedAtMs < LENDING.FIRST_ANSWER_MS;

/** @returns Whether a worker may get work now and later. */
export const isOpen = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  worker.listed &&
  !worker.departed &&
  !isReplaced(owned, worker) &&
  !worker.report.draining &&
  worker.reservedFor === null &&
  answers(turn, worker);

/** How much of each resource work that ends takes, for each host that it fills. */
type Mix = Readonly<Record<(typeof RESOURCES)[number], number>>;

const EVEN_MIX: Mix = { cpuMilli: 1, memoryMb: 1, gpus: 1 };

interface RunningWork {
  readonly hosts: number;
  readonly inTimeHosts: number;
  readonly mix: Mix;
}

const isInTime = (turn: Turn, { submission, occurrence }: Item): boolean =>
  (submission.occurrences.get(occurrence)?.dueAtMs ?? Infinity) > turn.nowMs;

/** @returns What running work that ends takes of the pool's hosts. */
const runningIn = (turn: Turn, pool: PoolWork, host: Resources): RunningWork => {
  const used = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  let hosts = 0;
  let inTimeHosts = 0;
  for (const worker of pool.workers) {
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
const roomForEnding = ({ runs, report }: Worker, mix: Mix): number => {
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

interface WaitingWork {
  readonly hosts: number;
  readonly inTimeHosts: number;
  /** Workers missing for the widest step with a bound a worker. */
  readonly spread: number;
}

/** A host runs short items one after another, long ones take it for as long as they last. */
const hostsFor = ({ spec }: Item, host: Resources, drainMs: number): number =>
  shareOf(roomOf(spec), host) * (spec.lasting ? 1 : Math.min(1, spec.estimateMs / drainMs));

/** @returns What waits for room in a pool. */
const waitingIn = (turn: Turn, owned: OwnedWork, pool: PoolWork, host: Resources): WaitingWork => {
  let hosts = 0;
  let inTimeHosts = 0;
  let worthlessHosts = 0;
  let largestWorthless = 0;
  let spread = 0;
  for (const submission of pool.waiting) {
    const perStep = new Map<number, number>();
    const allowed = new Map<number, boolean>();
    const { inTime, worthless } = prospectOf(turn, submission);
    for (const item of submission.ready) {
      const { spec, step } = item;
      const within = allowed.get(step) ?? withinCeiling(turn, owned, submission, spec);
      allowed.set(step, within);
      if (within) {
        if (worthless) {
          worthlessHosts += hostsFor(item, host, LENDING.WORTHLESS_DRAIN_MS);
          largestWorthless = Math.max(largestWorthless, shareOf(roomOf(spec), host));
        } else {
          const wanted = hostsFor(item, host, LENDING.DRAIN_MS);
          hosts += wanted;
          inTimeHosts += inTime ? wanted : 0;
        }
        perStep.set(step, (perStep.get(step) ?? 0) + 1 / (spec.maxPerWorker ?? Infinity));
      }
    }
    spread = Math.max(spread, ...perStep.values());
  }
  // Room for the largest item lets the others through, one after another.
  hosts += Math.max(worthlessHosts, largestWorthless);
  return { hosts, inTimeHosts, spread: Math.ceil(spread) };
};

/** @returns What a pool asks for and has. */
export const demandOf = (turn: Turn, owned: OwnedWork, pool: PoolWork): Demand => {
  const host = hostRoom(pool);
  const waiting = waitingIn(turn, owned, pool, host);
  const running = runningIn(turn, pool, host);
  const coming = comingHosts(owned, pool.id);
  const openWorkers = [...pool.workers].filter((worker) => isOpen(turn, owned, worker));
  const room = openWorkers.reduce((sum, worker) => sum + roomForEnding(worker, running.mix), 0);
  return {
    pool,
    openWorkers,
    runningHosts: running.hosts,
    runningInTimeHosts: running.inTimeHosts,
    waitingHosts: waiting.hosts + pool.displacedHosts,
    waitingInTimeHosts: waiting.inTimeHosts + pool.displacedHosts,
    arrivingHosts: arrivingHosts(turn, pool),
    spreadShort: waiting.spread,
    hosts: coming + room,
    comingHosts: coming,
  };
};

const wantedHosts = ({ runningHosts, waitingHosts, arrivingHosts }: Demand): number =>
  LENDING.ROOM * Math.max(runningHosts, arrivingHosts) + waitingHosts;

/** @returns How many hosts a pool should get now. */
export const missingHosts = (demand: Demand): number =>
  Math.max(
    0,
    demand.spreadShort - demand.comingHosts,
    Math.ceil(wantedHosts(demand) - demand.hosts),
  );

/** @returns How many hosts a pool can do without. */
export const spareHosts = (demand: Demand): number =>
  Math.max(0, Math.floor(demand.hosts - demand.comingHosts - wantedHosts(demand)));

/** @returns Hosts that a pool needs for work that can be in time, whatever else it has. */
export const neededHosts = (demand: Demand): number =>
  LENDING.ROOM * Math.max(demand.runningInTimeHosts, demand.pool.steadyHosts) +
  demand.waitingInTimeHosts;

const rounded = (value: number): number => Math.round(value * 100) / 100;

/** Logs what decides on hosts, once a second for each pool that has or wants work. */
export const logDemand = (turn: Turn, owned: OwnedWork, demands: readonly Demand[]): void => {
  if (turn.nowMs - owned.demandLoggedAtMs < LENDING.LOG_MS) {
    return;
  }
  owned.demandLoggedAtMs = turn.nowMs;
  for (const demand of demands) {
    const { pool, openWorkers } = demand;
    const busy = openWorkers.filter(({ runs }) => runs.size > 0).length;
    if (busy > 0 || demand.waitingHosts > 0) {
      logLine(turn, "info", "pool.demand", {
        pool: pool.id,
        workers: openWorkers.length,
        busyWorkers: busy,
        lastingWorkers: openWorkers.filter(({ lastingRuns }) => lastingRuns > 0).length,
        waitingSubmissions: pool.waiting.size,
        waitingHosts: rounded(demand.waitingHosts),
        waitingInTimeHosts: rounded(demand.waitingInTimeHosts),
        runningHosts: rounded(demand.runningHosts),
        arrivingHosts: rounded(demand.arrivingHosts),
        hostsForEndingWork: rounded(demand.hosts),
        comingHosts: demand.comingHosts,
        missingHosts: missingHosts(demand),
      });
    }
  }
};
