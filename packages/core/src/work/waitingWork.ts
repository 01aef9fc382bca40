import { shareOf } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { withinCeiling } from "./placement.js";
import { RANK, type Rank } from "./ranking.js";
import { roomOf } from "./room.js";
import type { OwnedWork, PoolWork, Submission } from "./state.js";
import type { Turn } from "./turn.js";
import type { Resources, StepSpec } from "./types.js";
import type { TeamBacklog } from "./backlog.js";

/** Demand of the ready items of one submission. */
export interface HostsWanted {
  /** Hosts that would complete them within the drain time. */
  readonly hosts: number;
  /** Fraction of a host that the largest item needs. */
  readonly largest: number;
  /** Most workers that the ready items of a step need because of its limit per worker. */
  readonly spread: number;
}

/**
 * Returns the fraction of the drain time that an item occupies its resources. A host can run several
 * short items one after another within that time; a long-running item occupies it throughout.
 */
const timeFraction = ({ lasting, estimateMs }: StepSpec, drainMs: number): number =>
  lasting ? 1 : Math.min(1, estimateMs / drainMs);

/**
 * Returns the demand of a submission's ready items for hosts of a pool. Expired work gets a longer
 * drain time and thus fewer hosts, since it runs on capacity that other work leaves free.
 */
export const hostsToWant = (submission: Submission, host: Resources, rank: Rank): HostsWanted => {
  const drainMs = rank === RANK.WORTHLESS ? LENDING.WORTHLESS_DRAIN_MS : LENDING.DRAIN_MS;
  let hosts = 0;
  let largest = 0;
  let spread = 0;
  submission.handIn.work.steps.forEach((spec, step) => {
    const readyCount = submission.readyInStep[step] ?? 0;
    if (readyCount === 0) {
      return;
    }
    const fraction = shareOf(roomOf(spec), host);
    hosts += readyCount * fraction * timeFraction(spec, drainMs);
    largest = Math.max(largest, fraction);
    spread = Math.max(spread, readyCount / (spec.maxPerWorker ?? Infinity));
  });
  return { hosts, largest, spread };
};

/** Demand of the backlog of a pool, in hosts. */
export interface WaitingWork {
  readonly hosts: number;
  /** The part of them for work that can still meet its deadline. */
  readonly inTimeHosts: number;
  /** Most workers that the ready items of a step need because of its limit per worker. */
  readonly spread: number;
}

/** Whether a team's first waiting submission is held back by the resource ceiling, not by capacity. */
const isHeldByCeiling = (turn: Turn, owned: OwnedWork, team: TeamBacklog): boolean => {
  const first = team.heap.first();
  const [item] = first?.ready ?? [];
  return first !== null && item !== undefined && !withinCeiling(turn, owned, first, item.spec);
};

/**
 * Returns the demand of the backlog of a pool. Expired work gets at least the hosts that its largest
 * item needs, so that its items can still run one after another.
 */
export const waitingIn = (turn: Turn, owned: OwnedWork, pool: PoolWork): WaitingWork => {
  let hosts = 0;
  let onSchedule = 0;
  let expired = 0;
  let largestExpired = 0;
  let spread = 0;
  for (const team of pool.waiting.byTeam()) {
    if (team.heap.size > 0 && !isHeldByCeiling(turn, owned, team)) {
      hosts += team.hosts;
      onSchedule += team.inTimeHosts;
      expired += team.worthlessHosts;
      largestExpired = Math.max(largestExpired, team.worthlessItems.firstKey() ?? 0);
      spread = Math.max(spread, team.spreads.firstKey() ?? 0);
    }
  }
  hosts += Math.max(expired, largestExpired);
  return { hosts, inTimeHosts: onSchedule, spread: Math.ceil(spread) };
};
