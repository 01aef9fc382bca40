import type { PoolId } from "@heatherferry/common";
import { arrivingHosts, hostCapacity } from "./arrivals.js";
import { HOST_ALLOCATION } from "../constants.js";
import { isClosedByZone } from "../evacuation/index.js";
import { isHostEvacuated } from "./hosts.js";
import { isReplaced } from "./hostWorkers.js";
import { batchFraction, runningWorkIn, runningOnScheduleHosts } from "./runningWork.js";
import type { OwnedWork, PoolWork, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import { displacedSpread } from "../workers/eviction.js";
import { backlogDemand } from "../placement/backlogDemand.js";

/** Demand and supply of a pool, in hosts. An item counts by the resource that it needs most of. */
export interface PoolDemand {
  readonly pool: PoolWork;
  /** Workers that accept new work now and later. */
  readonly schedulableWorkers: readonly Worker[];
  /** Hosts that running batch work occupies. */
  readonly runningHosts: number;
  /** Hosts that would complete the backlog within its target time. */
  readonly waitingHosts: number;
  /** Part of `waitingHosts` for work that can still meet its deadline. */
  readonly waitingOnScheduleHosts: number;
  /** Hosts that work arriving at the present rate occupies. */
  readonly arrivingHosts: number;
  /** Workers that the ready or displaced items of a step with a limit per worker need. */
  readonly spreadWorkers: number;
  /** Hosts available to batch work, including those that are being moved to the pool. */
  readonly availableHosts: number;
  /** Hosts that are being moved to the pool. */
  readonly incomingHosts: number;
}

/** Returns the hosts on their way to a pool. Those in evacuated zones will take no work there. */
const countIncomingHosts = (turn: Turn, owned: OwnedWork, pool: PoolId): number => {
  let count = 0;
  for (const [host, { to }] of [...owned.moves, ...owned.drains]) {
    count += to === pool && !isHostEvacuated(turn, owned, host) ? 1 : 0;
  }
  return count;
};

/**
 * Whether a worker is expected to answer polls. A newly registered worker gets some time for its
 * first answer. One that has not answered by then is gone, and its registration is stale.
 */
const isResponsive = (turn: Turn, worker: Worker): boolean =>
  worker.fenced
    ? !worker.unreachable
    : turn.nowMs - worker.registeredAtMs < HOST_ALLOCATION.FIRST_ANSWER_TIMEOUT_MS;

/** Whether a worker accepts new work now and later. */
export const isSchedulable = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  worker.registered &&
  !worker.hostReclaimed &&
  !isReplaced(turn, owned, worker) &&
  !worker.report.draining &&
  !isClosedByZone(turn.work.evacuations, worker.report, turn.nowMs) &&
  worker.reservedFor === null &&
  isResponsive(turn, worker);

/** Returns the demand and supply of a pool. */
export const poolDemand = (turn: Turn, owned: OwnedWork, pool: PoolWork): PoolDemand => {
  const host = hostCapacity(pool);
  const waiting = backlogDemand(turn, owned, pool);
  const running = runningWorkIn(turn, pool, host);
  const incoming = countIncomingHosts(turn, owned, pool.id);
  const schedulableWorkers = [...pool.workers].filter((worker) =>
    isSchedulable(turn, owned, worker),
  );
  const available = schedulableWorkers.reduce(
    (sum, worker) => sum + batchFraction(worker, running.mix),
    0,
  );
  return {
    pool,
    schedulableWorkers,
    runningHosts: running.hosts,
    waitingHosts: waiting.hosts + pool.displacedHosts,
    waitingOnScheduleHosts: waiting.onScheduleHosts + pool.displacedHosts,
    arrivingHosts: arrivingHosts(turn, pool),
    spreadWorkers: Math.max(waiting.spreadWorkers, displacedSpread(turn, owned, pool)),
    availableHosts: incoming + available,
    incomingHosts: incoming,
  };
};

const hostsWithHeadroom = ({ runningHosts, waitingHosts, arrivingHosts }: PoolDemand): number =>
  HOST_ALLOCATION.HEADROOM_FACTOR * Math.max(runningHosts, arrivingHosts) + waitingHosts;

/** Returns how many more hosts a pool needs. */
export const missingHosts = (demand: PoolDemand): number =>
  Math.max(
    0,
    demand.spreadWorkers - demand.incomingHosts,
    Math.ceil(hostsWithHeadroom(demand) - demand.availableHosts),
  );

/** Returns how many hosts a pool can give away. */
export const spareHosts = (demand: PoolDemand): number =>
  Math.max(0, Math.floor(demand.availableHosts - demand.incomingHosts - hostsWithHeadroom(demand)));

/** Returns the hosts that a pool needs for work that can still meet its deadline. */
export const neededHosts = (turn: Turn, demand: PoolDemand): number =>
  HOST_ALLOCATION.HEADROOM_FACTOR *
    Math.max(runningOnScheduleHosts(turn, demand.pool), demand.pool.steadyHosts) +
  demand.waitingOnScheduleHosts;

const rounded = (value: number): number => Math.round(value * 100) / 100;

/** Logs the figures behind host allocation once a second, for each pool that has work. */
export const logDemand = (turn: Turn, owned: OwnedWork, demands: readonly PoolDemand[]): void => {
  if (turn.nowMs - owned.demandLoggedAtMs < HOST_ALLOCATION.DEMAND_LOG_INTERVAL_MS) {
    return;
  }
  owned.demandLoggedAtMs = turn.nowMs;
  for (const demand of demands) {
    const { pool, schedulableWorkers } = demand;
    const busy = schedulableWorkers.filter(({ runs }) => runs.size > 0).length;
    if (busy > 0 || demand.waitingHosts > 0) {
      logLine(turn, "info", "pool.demand", {
        pool: pool.id,
        workers: schedulableWorkers.length,
        busyWorkers: busy,
        longRunningWorkers: schedulableWorkers.filter(({ longRunningRuns }) => longRunningRuns > 0)
          .length,
        waitingSubmissions: pool.backlog.size,
        waitingHosts: rounded(demand.waitingHosts),
        waitingInTimeHosts: rounded(demand.waitingOnScheduleHosts),
        runningHosts: rounded(demand.runningHosts),
        arrivingHosts: rounded(demand.arrivingHosts),
        hostsForBatchWork: rounded(demand.availableHosts),
        incomingHosts: demand.incomingHosts,
        missingHosts: missingHosts(demand),
      });
    }
  }
};
