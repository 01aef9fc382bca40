import type { Resources } from "../types.js";
import { ROOM } from "./constants.js";
import type { OfferedRate, PoolAverages, Resource } from "./types.js";

export const RESOURCE_NAMES: readonly Resource[] = ["cpuMilli", "memoryMb", "gpus"];

export const newAverages = (nowMs: number): PoolAverages => ({
  arriving: { cpuMilli: 0, memoryMb: 0, gpus: 0 },
  arrivingAtMs: nowMs,
  estimatedMs: 0,
  actualMs: 0,
  runTimesAtMs: nowMs,
});

const decayed = (sinceMs: number, averagingMs: number): number =>
  Math.exp(-Math.max(0, sinceMs) / averagingMs);

/** Adds work that arrived within its team's rate; with no work, only ages the averages. */
export const addArrival = (averages: PoolAverages, work: Resources, nowMs: number): void => {
  const factor = decayed(nowMs - averages.arrivingAtMs, ROOM.AVERAGING_MS);
  averages.arrivingAtMs = nowMs;
  for (const resource of RESOURCE_NAMES) {
    averages.arriving[resource] =
      averages.arriving[resource] * factor + work[resource] / ROOM.AVERAGING_MS;
  }
};

const MS_PER_S = 1_000;

/** Adds submissions to the rate of a team; with none, only ages it. */
export const addOffered = (rate: OfferedRate, submissions: number, nowMs: number): void => {
  const factor = decayed(nowMs - rate.atMs, ROOM.RATE_AVERAGING_MS);
  rate.atMs = nowMs;
  rate.perS = rate.perS * factor + (submissions * MS_PER_S) / ROOM.RATE_AVERAGING_MS;
};

/** Adds the run times of a run that was done. */
export const addRunTime = (
  averages: PoolAverages,
  estimatedMs: number,
  actualMs: number,
  nowMs: number,
): void => {
  const factor = decayed(nowMs - averages.runTimesAtMs, ROOM.AVERAGING_MS);
  averages.runTimesAtMs = nowMs;
  averages.estimatedMs = averages.estimatedMs * factor + estimatedMs;
  averages.actualMs = averages.actualMs * factor + actualMs;
};

/** Returns estimated over actual run time; 1 while no run has ended. */
export const runSpeed = ({ estimatedMs, actualMs }: PoolAverages): number =>
  actualMs > 0 ? estimatedMs / actualMs : 1;
