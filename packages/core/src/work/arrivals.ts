import { LENDING } from "./constants.js";
import { endingSteps } from "./estimates.js";
import type { PoolWork } from "./state.js";
import type { Turn } from "./turn.js";
import type { Resources, WorkSpec } from "./types.js";

/** @returns Room of a host of the pool. */
export const hostRoom = (pool: PoolWork): Resources => {
  const [anyWorker] = pool.workers;
  return anyWorker?.report.capacity ?? LENDING.HOST_ROOM;
};

/** @returns The part of a host that work takes, by the resource of which it takes most. */
export const shareOf = (needs: Resources, host: Resources): number =>
  Math.max(
    needs.cpuMilli / Math.max(1, host.cpuMilli),
    needs.memoryMb / Math.max(1, host.memoryMb),
    host.gpus === 0 ? 0 : needs.gpus / host.gpus,
  );

/** Takes work that was handed in to a pool into its rates of arrival. */
export const noteArrival = (turn: Turn, pool: PoolWork, work: WorkSpec): void => {
  const host = hostRoom(pool);
  const hostMs = endingSteps(work).reduce(
    (sum, step) => sum + step.count * shareOf(step.needs, host) * Math.max(1, step.estimateMs),
    0,
  );
  if (hostMs > 0) {
    pool.arrivals.push({ atMs: turn.nowMs, hostMs });
    pool.steadyHosts += hostMs / LENDING.STEADY_MS;
  }
};

/** Lets what arrived earlier count less. */
export const ageArrivals = (turn: Turn, pool: PoolWork): void => {
  const longestMs = Math.max(...LENDING.SURGE_WINDOWS_MS);
  pool.arrivals = pool.arrivals.filter(({ atMs }) => turn.nowMs - atMs <= longestMs);
  pool.steadyHosts *= Math.exp((pool.rateAtMs - turn.nowMs) / LENDING.STEADY_MS);
  pool.rateAtMs = turn.nowMs;
};

/** A few submissions may have come together by chance, so their likely error is left out. */
const surgeHosts = (turn: Turn, pool: PoolWork, windowMs: number): number => {
  const recent = pool.arrivals.filter(({ atMs }) => turn.nowMs - atMs <= windowMs);
  const hostMs = recent.reduce((sum, arrival) => sum + arrival.hostMs, 0);
  const sure = Math.max(0, 1 - LENDING.CHANCE / Math.sqrt(Math.max(1, recent.length)));
  return (hostMs / windowMs) * sure;
};

/** @returns Hosts that work keeps busy which arrives at the present rate. */
export const arrivingHosts = (turn: Turn, pool: PoolWork): number =>
  Math.max(
    pool.steadyHosts,
    ...LENDING.SURGE_WINDOWS_MS.map((windowMs) => surgeHosts(turn, pool, windowMs)),
  );
