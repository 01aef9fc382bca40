import { shareOf } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { withinCeiling } from "./placement.js";
import { RANK, type Rank } from "./ranking.js";
import { roomOf } from "./room.js";
import type { OwnedWork, PoolWork, Submission } from "./state.js";
import type { Turn } from "./turn.js";
import type { Resources, StepSpec } from "./types.js";
import type { TeamBacklog } from "./backlog.js";

/** Hosts that the waiting items of one submission want. */
export interface HostsWanted {
  /** Hosts that would work them off in time. */
  readonly hosts: number;
  /** The part of a host that the largest takes. */
  readonly largest: number;
  /** Workers that the widest step wants, by its bound a worker. */
  readonly spread: number;
}

/** A host runs short items one after another, long ones take it for as long as they last. */
const timeShare = ({ lasting, estimateMs }: StepSpec, drainMs: number): number =>
  lasting ? 1 : Math.min(1, estimateMs / drainMs);

/**
 * Work that is worth nothing any more is done in time that others leave.
 *
 * @returns What a submission's waiting items want of hosts of a pool.
 */
export const hostsToWant = (submission: Submission, host: Resources, rank: Rank): HostsWanted => {
  const drainMs = rank === RANK.WORTHLESS ? LENDING.WORTHLESS_DRAIN_MS : LENDING.DRAIN_MS;
  let hosts = 0;
  let largest = 0;
  let spread = 0;
  submission.handIn.work.steps.forEach((spec, step) => {
    const count = submission.readyInStep[step] ?? 0;
    if (count === 0) {
      return;
    }
    const share = shareOf(roomOf(spec), host);
    hosts += count * share * timeShare(spec, drainMs);
    largest = Math.max(largest, share);
    spread = Math.max(spread, count / (spec.maxPerWorker ?? Infinity));
  });
  return { hosts, largest, spread };
};

/** What waits for room in a pool, counted in hosts. */
export interface WaitingWork {
  readonly hosts: number;
  readonly inTimeHosts: number;
  /** Workers missing for the widest step with a bound a worker. */
  readonly spread: number;
}

/** @returns Whether a team that has reached its ceiling waits for that, and not for room. */
const waitsForCeiling = (turn: Turn, owned: OwnedWork, team: TeamBacklog): boolean => {
  const first = team.heap.first();
  const [item] = first?.ready ?? [];
  return first !== null && item !== undefined && !withinCeiling(turn, owned, first, item.spec);
};

/**
 * Room for the largest item of work that is worth nothing any more lets it through, one item after
 * another.
 *
 * @returns What waits for room in a pool.
 */
export const waitingIn = (turn: Turn, owned: OwnedWork, pool: PoolWork): WaitingWork => {
  let hosts = 0;
  let inTimeHosts = 0;
  let worthlessHosts = 0;
  let largestWorthless = 0;
  let spread = 0;
  for (const team of pool.waiting.byTeam()) {
    if (team.heap.size > 0 && !waitsForCeiling(turn, owned, team)) {
      hosts += team.hosts;
      inTimeHosts += team.inTimeHosts;
      worthlessHosts += team.worthlessHosts;
      largestWorthless = Math.max(largestWorthless, team.worthlessItems.firstKey() ?? 0);
      spread = Math.max(spread, team.spreads.firstKey() ?? 0);
    }
  }
  hosts += Math.max(worthlessHosts, largestWorthless);
  return { hosts, inTimeHosts, spread: Math.ceil(spread) };
};
