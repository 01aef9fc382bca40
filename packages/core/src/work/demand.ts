import type { PoolId } from "@heatherferry/common";
import { arrivingHosts, hostRoom } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { isReplaced } from "./hostWorkers.js";
import { roomForEnding, runningIn, runningInTimeHosts } from "./runningWork.js";
import type { OwnedWork, PoolWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import { waitingIn } from "./waitingWork.js";

/** What a pool asks for and has, counted in hosts by whichever resource is scarcest. */
export interface Demand {
  readonly pool: PoolWork;
  readonly openWorkers: readonly Worker[];
  /** Hosts that running work which ends keeps busy. */
  readonly runningHosts: number;
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

/** @returns What a pool asks for and has. */
export const demandOf = (turn: Turn, owned: OwnedWork, pool: PoolWork): Demand => {
  const host = hostRoom(pool);
  const waiting = waitingIn(turn, owned, pool);
  const running = runningIn(turn, pool, host);
  const coming = comingHosts(owned, pool.id);
  const openWorkers = [...pool.workers].filter((worker) => isOpen(turn, owned, worker));
  const room = openWorkers.reduce((sum, worker) => sum + roomForEnding(worker, running.mix), 0);
  return {
    pool,
    openWorkers,
    runningHosts: running.hosts,
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
export const neededHosts = (turn: Turn, demand: Demand): number =>
  LENDING.ROOM * Math.max(runningInTimeHosts(turn, demand.pool), demand.pool.steadyHosts) +
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
