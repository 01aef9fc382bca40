import { hostFraction } from "../hosts/arrivals.js";
import { HOST_ALLOCATION } from "../constants.js";
import { withinCeiling } from "./placement.js";
import { RANK, type Rank } from "./orderKey.js";
import { expectedStepMs } from "../submissions/expectedRunTimes.js";
import { reservedResources } from "../workers/workerResources.js";
import type { OwnedWork, PoolWork, Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { Resources, StepSpec } from "../types.js";
import type { TeamBacklog } from "./backlog.js";

/** Demand of the ready items of one submission. */
export interface SubmissionDemand {
  /** Hosts that would complete the items within the target time of the backlog. */
  readonly hosts: number;
  /** Fraction of a host that the largest item needs. */
  readonly largestItem: number;
  /** Most workers that the ready items of a step need because of its limit per worker. */
  readonly spreadWorkers: number;
}

/**
 * Returns the fraction of a backlog's target time that an item occupies its resources. A host can
 * run several short items one after another within that time; a long-running item occupies it
 * throughout.
 */
const timeFraction = ({ lasting }: StepSpec, runTimeMs: number, targetMs: number): number =>
  lasting ? 1 : Math.min(1, runTimeMs / targetMs);

/**
 * Returns the demand of a submission's ready items for hosts of a pool. Expired work has a longer
 * target time and thus gets fewer hosts, since it runs on capacity that other work leaves free.
 */
export const submissionDemand = (
  submission: Submission,
  host: Resources,
  rank: Rank,
): SubmissionDemand => {
  const targetMs =
    rank === RANK.EXPIRED
      ? HOST_ALLOCATION.EXPIRED_BACKLOG_TARGET_MS
      : HOST_ALLOCATION.BACKLOG_TARGET_MS;
  let hosts = 0;
  let largest = 0;
  let spread = 0;
  submission.row.work.steps.forEach((spec, step) => {
    const readyCount = submission.readyByStep[step] ?? 0;
    if (readyCount === 0 || submission.obstacles.has(step)) {
      return;
    }
    const fraction = hostFraction(reservedResources(spec), host);
    const runTimeMs = expectedStepMs(submission, step);
    hosts += readyCount * fraction * timeFraction(spec, runTimeMs, targetMs);
    largest = Math.max(largest, fraction);
    spread = Math.max(spread, readyCount / (spec.maxPerWorker ?? Infinity));
  });
  return { hosts, largestItem: largest, spreadWorkers: spread };
};

/** Demand of the backlog of a pool, in hosts. */
export interface BacklogDemand {
  readonly hosts: number;
  /** Part of `hosts` for work that can still meet its deadline. */
  readonly onScheduleHosts: number;
  /** Most workers that the ready items of a step need because of its limit per worker. */
  readonly spreadWorkers: number;
}

/** Whether a team's resource ceiling, not lack of capacity, holds back its first submission. */
export const isHeldByCeiling = (turn: Turn, owned: OwnedWork, team: TeamBacklog): boolean => {
  const first = team.heap.first();
  const [item] = first?.ready ?? [];
  return first !== null && item !== undefined && !withinCeiling(turn, owned, first, item.spec);
};

/**
 * Returns the demand of the backlog of a pool. Expired work gets at least the hosts that its
 * largest item needs, so that its items can still run one after another.
 */
export const backlogDemand = (turn: Turn, owned: OwnedWork, pool: PoolWork): BacklogDemand => {
  let hosts = 0;
  let onSchedule = 0;
  let expired = 0;
  let largestExpired = 0;
  let spread = 0;
  for (const team of pool.backlog.byTeam()) {
    if (team.submissionCount > 0 && !isHeldByCeiling(turn, owned, team)) {
      hosts += team.hosts;
      onSchedule += team.onScheduleHosts;
      expired += team.expiredHosts;
      largestExpired = Math.max(largestExpired, team.expiredItems.firstKey() ?? 0);
      spread = Math.max(spread, team.spreadWorkers.firstKey() ?? 0);
    }
  }
  hosts += Math.max(expired, largestExpired);
  return { hosts, onScheduleHosts: onSchedule, spreadWorkers: Math.ceil(spread) };
};
