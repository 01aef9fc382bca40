import type { PoolId, TeamId } from "@heatherferry/common";
import {
  addArrival,
  addOffered,
  ADMISSION,
  averagesOf,
  forecastWaits,
  inOrder,
  mayWaitLong,
  ownerRecords,
  publishedForecast,
  publishedPools,
  RESOURCE_NAMES,
  runSpeed,
  STANDING,
  type PoolRoom,
  type Resource,
  type Standing,
  type WaitingWork,
} from "../admission/index.js";
import { countSteps } from "../handlingCost.js";
import { HOST_ALLOCATION } from "../constants.js";
import { hostCapacity } from "../hosts/arrivals.js";
import type { PoolDemand } from "../hosts/demand.js";
import type { OwnedWork, PoolWork, Submission } from "../state.js";
import { isStandby, queueById, teamById } from "../store/catalog.js";
import type { Turn } from "../turn.js";
import type { AdmissionFigures, OwnerRow, PoolAdmission } from "../types.js";
import { NO_RESOURCES } from "../workers/workerResources.js";
import { isHeldByCeiling } from "./backlogDemand.js";
import { RANK, type OrderKey, type Rank } from "./orderKey.js";
import { workOfItems } from "./poolAverages.js";

const STANDING_OF_RANK: Readonly<Record<Rank, Standing | null>> = {
  [RANK.ON_SCHEDULE]: STANDING.IN_TIME,
  [RANK.TIGHT]: STANDING.IN_TIME,
  [RANK.LATE]: STANDING.LATE,
  [RANK.OVER_RATE]: STANDING.OVER_RATE,
  // Work that has expired waits for all other work.
  [RANK.EXPIRED]: null,
};

/** Returns what a submission adds to the line; null if it does not stand before a newcomer. */
const waitingWorkOf = (
  { work, nowMs }: Turn,
  submission: Submission,
  { rank, dueAtMs }: OrderKey,
): WaitingWork | null => {
  const [first] = submission.ready;
  const occurrence = submission.occurrences.get(first?.occurrence ?? 0);
  const standing = STANDING_OF_RANK[rank];
  if (first === undefined || occurrence === undefined || standing === null) {
    return null;
  }
  const { row } = submission;
  // Items that only some workers may run leave room for others, and long-running ones take it anyway.
  const steps = row.work.steps.flatMap((spec, step) =>
    spec.lasting || spec.requiredLabel !== null || spec.maxPerWorker !== null
      ? []
      : [{ spec, count: submission.obstacles.has(step) ? 0 : (submission.readyByStep[step] ?? 0) }],
  );
  return {
    team: row.team,
    standing,
    priority: queueById(work, row.queue)?.priority ?? 0,
    dueInMs: dueAtMs - nowMs,
    usefulForMs: occurrence.expiresAtMs - (submission.criticalPathsMs[first.step] ?? 0) - nowMs,
    work: workOfItems(steps),
  };
};

const waitingWorkIn = (turn: Turn, owned: OwnedWork, pool: PoolWork): readonly WaitingWork[] => {
  const entries: WaitingWork[] = [];
  for (const team of pool.backlog.byTeam()) {
    if (team.submissionCount === 0 || isHeldByCeiling(turn, owned, team)) {
      continue;
    }
    for (const [submission, key] of team.heap) {
      const entry = waitingWorkOf(turn, submission, key);
      if (entry !== null) {
        entries.push(entry);
      }
      if (entries.length >= ADMISSION.MAX_ENTRIES) {
        return entries;
      }
    }
  }
  countSteps(turn, entries.length);
  return entries;
};

/**
 * Returns the capacity of the hosts that a pool has or may get: those of other pools without work
 * and those that are switched off count as well.
 */
const capacityOf = (
  { pool, availableHosts }: PoolDemand,
  movableHosts: number,
): Readonly<Record<Resource, number>> => {
  const host = hostCapacity(pool);
  const hosts = availableHosts + movableHosts;
  return {
    cpuMilli: hosts * host.cpuMilli,
    memoryMb: hosts * host.memoryMb,
    gpus: hosts * host.gpus,
  };
};

const idleHostsIn = ({ availableHosts, incomingHosts, runningHosts }: PoolDemand): number =>
  Math.max(0, availableHosts - incomingHosts - runningHosts - HOST_ALLOCATION.MIN_WORKERS_PER_POOL);

const countStandbyHosts = ({ work }: Turn, owned: OwnedWork): number => {
  let count = 0;
  for (const { pool } of owned.hosts.values()) {
    count += isStandby(work, pool) ? 1 : 0;
  }
  return count;
};

const poolAdmission = (
  turn: Turn,
  owned: OwnedWork,
  demand: PoolDemand,
  movableHosts: number,
): PoolAdmission | null => {
  const { pool } = demand;
  const waiting = waitingWorkIn(turn, owned, pool);
  const averages = averagesOf(ownerRecords(turn.work.admission, owned.fence), pool.id, turn.nowMs);
  addArrival(averages, NO_RESOURCES, turn.nowMs);
  const capacity = capacityOf(demand, movableHosts);
  const roomFor = (resource: Resource): PoolRoom => ({
    capacity: capacity[resource],
    speed: runSpeed(averages),
    arriving: averages.arriving[resource],
  });
  const short = RESOURCE_NAMES.filter(
    (resource) => capacity[resource] > 0 && mayWaitLong(waiting, resource, roomFor(resource)),
  );
  const sorted = short.length === 0 ? [] : inOrder(waiting);
  const published: Partial<Record<Resource, PoolAdmission[Resource]>> = {};
  for (const resource of short) {
    const ceilingOf = (team: TeamId | null): number =>
      teamById(turn.work, team)?.ceiling[resource] ?? 0;
    const forecast = forecastWaits(sorted, resource, roomFor(resource), ceilingOf);
    const figures = publishedForecast(forecast);
    if (figures !== null) {
      published[resource] = figures;
    }
  }
  return Object.keys(published).length === 0 ? null : published;
};

/** Returns the rates of the teams that submit faster than they are entitled to. */
const ratesBeyond = (turn: Turn, owned: OwnedWork): Readonly<Record<TeamId, number>> => {
  const rates: [TeamId, number][] = [];
  for (const [team, offered] of ownerRecords(turn.work.admission, owned.fence).offered) {
    addOffered(offered, 0, turn.nowMs);
    if (offered.perS > (teamById(turn.work, team)?.weight ?? Infinity)) {
      rates.push([team, Math.round(offered.perS * 10) / 10]);
    }
  }
  rates.sort(([, one], [, other]) => other - one);
  return Object.fromEntries(rates.slice(0, ADMISSION.MAX_TEAMS_BEYOND_RATE));
};

const computeFigures = (
  turn: Turn,
  owned: OwnedWork,
  demands: readonly PoolDemand[],
): AdmissionFigures | null => {
  const asOfStoreMs = turn.work.feeds.handIns.viewStoreMs;
  const offeredPerS = ratesBeyond(turn, owned);
  const withBacklog = demands.filter(({ pool }) => pool.backlog.size > 0);
  if (asOfStoreMs === null || withBacklog.length === 0 || Object.keys(offeredPerS).length === 0) {
    return null;
  }
  const idle = demands.reduce((sum, demand) => sum + idleHostsIn(demand), 0);
  const standby = countStandbyHosts(turn, owned);
  const pools: [PoolId, PoolAdmission][] = [];
  for (const demand of withBacklog) {
    const movable = idle - idleHostsIn(demand) + standby;
    const admission = poolAdmission(turn, owned, demand, movable);
    if (admission !== null) {
      pools.push([demand.pool.id, admission]);
    }
  }
  return pools.length === 0 ? null : { asOfStoreMs, pools: publishedPools(pools), offeredPerS };
};

/** Computes the figures for admission anew from time to time. */
export const tickAdmissionFigures = (
  turn: Turn,
  owned: OwnedWork,
  demands: readonly PoolDemand[],
): void => {
  const records = ownerRecords(turn.work.admission, owned.fence);
  if (turn.nowMs - records.computedAtMs >= ADMISSION.COMPUTE_INTERVAL_MS) {
    records.computedAtMs = turn.nowMs;
    records.figures = computeFigures(turn, owned, demands);
  }
};

/** Returns the owner row's figures for admission, as far as there are any. */
export const publishedAdmission = (
  { work }: Turn,
  { fence }: OwnedWork,
): Pick<OwnerRow, "admission"> => {
  const { figures } = ownerRecords(work.admission, fence);
  return figures === null ? {} : { admission: figures };
};
