import { shareOf } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { lookedAt } from "./effort.js";
import { withinCeiling } from "./placement.js";
import { prospectOf } from "./ranking.js";
import { roomOf } from "./room.js";
import type { Item, OwnedWork, PoolWork, Submission } from "./state.js";
import type { Turn } from "./turn.js";
import type { Resources } from "./types.js";

/** What waits for room in a pool, counted in hosts. */
export interface WaitingWork {
  readonly hosts: number;
  readonly inTimeHosts: number;
  /** Workers missing for the widest step with a bound a worker. */
  readonly spread: number;
}

/** @returns Items of a submission that wait for nothing but room. */
const allowedItems = (turn: Turn, owned: OwnedWork, submission: Submission): Item[] => {
  const allowed = new Map<number, boolean>();
  return [...submission.ready].filter(({ spec, step }) => {
    const within = allowed.get(step) ?? withinCeiling(turn, owned, submission, spec);
    allowed.set(step, within);
    return within;
  });
};

/** A host runs short items one after another, long ones take it for as long as they last. */
const hostsFor = ({ spec }: Item, host: Resources, drainMs: number): number =>
  shareOf(roomOf(spec), host) * (spec.lasting ? 1 : Math.min(1, spec.estimateMs / drainMs));

const hostsForAll = (items: readonly Item[], host: Resources, drainMs: number): number =>
  items.reduce((sum, item) => sum + hostsFor(item, host, drainMs), 0);

/** @returns Workers that the widest of the items' steps wants, by its bound a worker. */
const spreadOf = (items: readonly Item[]): number => {
  const perStep = new Map<number, number>();
  for (const { spec, step } of items) {
    perStep.set(step, (perStep.get(step) ?? 0) + 1 / (spec.maxPerWorker ?? Infinity));
  }
  return Math.max(0, ...perStep.values());
};

const largestShare = (items: readonly Item[], host: Resources): number =>
  Math.max(0, ...items.map(({ spec }) => shareOf(roomOf(spec), host)));

/**
 * Work that is worth nothing any more is done in time that others leave, but room for its largest
 * item lets it through, one item after another.
 *
 * @returns What waits for room in a pool.
 */
export const waitingIn = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  host: Resources,
): WaitingWork => {
  let hosts = 0;
  let inTimeHosts = 0;
  let worthlessHosts = 0;
  let largestWorthless = 0;
  let spread = 0;
  for (const submission of pool.waiting) {
    lookedAt(turn, 1 + submission.ready.size);
    const items = allowedItems(turn, owned, submission);
    const { inTime, worthless } = prospectOf(turn, submission);
    if (worthless) {
      worthlessHosts += hostsForAll(items, host, LENDING.WORTHLESS_DRAIN_MS);
      largestWorthless = Math.max(largestWorthless, largestShare(items, host));
    } else {
      const wanted = hostsForAll(items, host, LENDING.DRAIN_MS);
      hosts += wanted;
      inTimeHosts += inTime ? wanted : 0;
    }
    spread = Math.max(spread, spreadOf(items));
  }
  hosts += Math.max(worthlessHosts, largestWorthless);
  return { hosts, inTimeHosts, spread: Math.ceil(spread) };
};
