import { HOST_ALLOCATION } from "../constants.js";
import type { PoolWork } from "../state.js";
import type { Turn } from "../turn.js";
import type { Resources, WorkSpec } from "../types.js";

/**
 * Returns the capacity of a host of the pool, as far as possible of one whose worker has answered;
 * a default if the pool has no workers.
 */
export const hostCapacity = ({ exemplar, workers }: PoolWork): Resources => {
  const [anyWorker] = workers;
  return (exemplar ?? anyWorker)?.report.capacity ?? HOST_ALLOCATION.DEFAULT_HOST_CAPACITY;
};

/** Returns the fraction of a host that work needs, by the resource that it needs most of. */
export const hostFraction = (needs: Resources, host: Resources): number =>
  Math.max(
    needs.cpuMilli / Math.max(1, host.cpuMilli),
    needs.memoryMb / Math.max(1, host.memoryMb),
    host.gpus === 0 ? 0 : needs.gpus / host.gpus,
  );

/**
 * Adds the batch work of a submission to the arrival rates of its pool.
 *
 * @param runTimesMs - Expected run time of an item of each step.
 */
export const recordArrival = (
  turn: Turn,
  pool: PoolWork,
  work: WorkSpec,
  runTimesMs: readonly number[],
): void => {
  const host = hostCapacity(pool);
  const hostMs = work.steps.reduce((sum, { lasting, count, needs }, step) => {
    const itemMs = Math.max(1, runTimesMs[step] ?? 0);
    return lasting ? sum : sum + count * hostFraction(needs, host) * itemMs;
  }, 0);
  if (hostMs > 0) {
    pool.arrivals.push({ atMs: turn.nowMs, hostMs });
    pool.steadyHosts += hostMs / HOST_ALLOCATION.ARRIVAL_RATE_WINDOW_MS;
  }
};

/** Decays the long-term arrival rate and discards arrivals older than the longest surge window. */
export const decayArrivals = (turn: Turn, pool: PoolWork): void => {
  const longestMs = Math.max(...HOST_ALLOCATION.SURGE_WINDOWS_MS);
  pool.arrivals = pool.arrivals.filter(({ atMs }) => turn.nowMs - atMs <= longestMs);
  pool.steadyHosts *= Math.exp(
    (pool.averagedAtMs - turn.nowMs) / HOST_ALLOCATION.ARRIVAL_RATE_WINDOW_MS,
  );
  pool.averagedAtMs = turn.nowMs;
};

/**
 * Returns the hosts that work arriving at the rate of a recent window occupies. A few submissions
 * may have coincided by chance, so the estimate is lowered by `SURGE_STANDARD_ERRORS` standard
 * errors.
 */
const surgeHosts = (turn: Turn, pool: PoolWork, windowMs: number): number => {
  const recent = pool.arrivals.filter(({ atMs }) => turn.nowMs - atMs <= windowMs);
  const hostMs = recent.reduce((sum, arrival) => sum + arrival.hostMs, 0);
  const confidence = Math.max(
    0,
    1 - HOST_ALLOCATION.SURGE_STANDARD_ERRORS / Math.sqrt(Math.max(1, recent.length)),
  );
  return (hostMs / windowMs) * confidence;
};

/** Returns the hosts that work arriving at the present rate occupies. */
export const arrivingHosts = (turn: Turn, pool: PoolWork): number =>
  Math.max(
    pool.steadyHosts,
    ...HOST_ALLOCATION.SURGE_WINDOWS_MS.map((windowMs) => surgeHosts(turn, pool, windowMs)),
  );
