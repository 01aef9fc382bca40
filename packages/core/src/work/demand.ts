import type { PoolId } from "@heatherferry/common";
import { arrivingHosts, hostRoom } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { isReplaced } from "./hostWorkers.js";
import { roomForEnding, runningIn, runningInTimeHosts } from "./runningWork.js";
import type { OwnedWork, PoolWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import { waitingIn } from "./waitingWork.js";

/** Demand and supply of a pool, in hosts. An item counts by the resource that it needs most of. */
export interface Demand {
  readonly pool: PoolWork;
  /** Workers that accept new work now and later. */
  readonly openWorkers: readonly Worker[];
  /** Hosts that running batch work occupies. */
  readonly runningHosts: number;
  /** Hosts that would complete the backlog within the drain time. */
  readonly waitingHosts: number;
  /** The part of them for work that can still meet its deadline. */
  readonly waitingInTimeHosts: number;
  /** Hosts that work arriving at the present rate occupies. */
  readonly arrivingHosts: number;
  /** Workers that the ready items of a step with a limit per worker need. */
  readonly spreadShort: number;
  /** Hosts available to batch work, including those that are being moved to the pool. */
  readonly hosts: number;
  /** Hosts that are being moved to the pool. */
  readonly comingHosts: number;
}

const countIncomingHosts = (owned: OwnedWork, pool: PoolId): number => {
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
 * Whether a worker is expected to answer polls. A newly registered worker gets some time for its
 * first answer. One that has not answered by then is gone, and its registration is stale.
 */
const isResponsive = (turn: Turn, worker: Worker): boolean =>
  worker.fenced ? !worker.unreachable : turn.nowMs - worker.enlistedAtMs < LENDING.FIRST_ANSWER_MS;

/** Whether a worker accepts new work now and later. */
export const isOpen = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  worker.listed &&
  !worker.departed &&
  !isReplaced(owned, worker) &&
  !worker.report.draining &&
  worker.reservedFor === null &&
  isResponsive(turn, worker);

/** Returns the demand and supply of a pool. */
export const demandOf = (turn: Turn, owned: OwnedWork, pool: PoolWork): Demand => {
  const host = hostRoom(pool);
  const waiting = waitingIn(turn, owned, pool);
  const running = runningIn(turn, pool, host);
  const incoming = countIncomingHosts(owned, pool.id);
  const openWorkers = [...pool.workers].filter((worker) => isOpen(turn, owned, worker));
  const available = openWorkers.reduce(
    (sum, worker) => sum + roomForEnding(worker, running.mix),
    0,
  );
  return {
    pool,
    openWorkers,
    runningHosts: running.hosts,
    waitingHosts: waiting.hosts + pool.displacedHosts,
    waitingInTimeHosts: waiting.inTimeHosts + pool.displacedHosts,
    arrivingHosts: arrivingHosts(turn, pool),
    spreadShort: waiting.spread,
    hosts: incoming + available,
    comingHosts: incoming,
  };
};

const hostsWithHeadroom = ({ runningHosts, waitingHosts, arrivingHosts }: Demand): number =>
  LENDING.ROOM * Math.max(runningHosts, arrivingHosts) + waitingHosts;

/** Returns how many more hosts a pool needs. */
export const missingHosts = (demand: Demand): number =>
  Math.max(
    0,
    demand.spreadShort - demand.comingHosts,
    Math.ceil(hostsWithHeadroom(demand) - demand.hosts),
  );

/** Returns how many hosts a pool can give away. */
export const spareHosts = (demand: Demand): number =>
  Math.max(0, Math.floor(demand.hosts - demand.comingHosts - hostsWithHeadroom(demand)));

/** Returns the hosts that a pool needs for work that can still meet its deadline. */
export const neededHosts = (turn: Turn, demand: Demand): number =>
  LENDING.ROOM * Math.max(runningInTimeHosts(turn, demand.pool), demand.pool.steadyHosts) +
  demand.waitingInTimeHosts;

const rounded = (value: number): number => Math.round(value * 100) / 100;

/** Logs the figures behind host allocation once a second, for each pool with running or waiting work. */
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
        longRunningWorkers: openWorkers.filter(({ lastingRuns }) => lastingRuns > 0).length,
        waitingSubmissions: pool.waiting.size,
        waitingHosts: rounded(demand.waitingHosts),
        waitingInTimeHosts: rounded(demand.waitingInTimeHosts),
        runningHosts: rounded(demand.runningHosts),
        arrivingHosts: rounded(demand.arrivingHosts),
        hostsForBatchWork: rounded(demand.hosts),
        incomingHosts: demand.comingHosts,
        missingHosts: missingHosts(demand),
      });
    }
  }
};
