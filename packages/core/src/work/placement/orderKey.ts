import { queueById } from "../store/catalog.js";
import { ORDERING, SUBMISSION_STATE } from "../constants.js";
import type { Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { ValueOf } from "@heatherferry/common";

/** Urgency of a submission. Lower ranks get capacity first, in the order of value to callers. */
export const RANK = {
  /** Long-running, or can meet its deadline and has begun or has time to spare. */
  ON_SCHEDULE: 0,
  /** Meets its deadline only if it starts at once and its estimate holds. */
  TIGHT: 1,
  /** Misses its deadline, but its result still has value. */
  LATE: 2,
  /** Submitted beyond its team's submission rate. */
  OVER_RATE: 3,
  /** Too late for its result to have value; it still runs. */
  EXPIRED: 4,
} as const;

export type Rank = ValueOf<typeof RANK>;

/** Position of a submission in the order in which submissions get capacity. */
export interface OrderKey {
  readonly rank: Rank;
  /** Priority of its queue; lower numbers go first. */
  readonly priority: number;
  /** Deadline, on this node's monotonic clock. */
  readonly dueAtMs: number;
  /** When its rank drops unless one of its items starts before. */
  readonly changesAtMs: number;
}

/** Whether one submission gets capacity before the other. */
export const precedes = (one: OrderKey, other: OrderKey): boolean => {
  if (one.rank !== other.rank) {
    return one.rank < other.rank;
  }
  return one.priority === other.priority
    ? one.dueAtMs < other.dueAtMs
    : one.priority < other.priority;
};

/** A rank and the time until which it applies. */
interface TimedRank {
  readonly rank: Rank;
  readonly untilMs: number;
}

const rankOf = (
  { nowMs }: Turn,
  { overRate: isOverRate, state }: Submission,
  occurrence: { readonly dueAtMs: number; readonly expiresAtMs: number },
  criticalPathMs: number,
): TimedRank => {
  // Latest start times for the work to meet its deadline, and for its result to have value.
  const latestInTimeMs = occurrence.dueAtMs - criticalPathMs;
  const latestUsefulMs = occurrence.expiresAtMs - criticalPathMs;
  if (nowMs > latestUsefulMs) {
    return { rank: RANK.EXPIRED, untilMs: Infinity };
  }
  if (isOverRate) {
    return { rank: RANK.OVER_RATE, untilMs: latestUsefulMs };
  }
  if (nowMs > latestInTimeMs) {
    return { rank: RANK.LATE, untilMs: latestUsefulMs };
  }
  // If work that has begun had to wait, the capacity that it has used so far would be wasted.
  const begun = state !== SUBMISSION_STATE.QUEUED;
  const latestRelaxedMs =
    latestInTimeMs - (criticalPathMs * ORDERING.CRITICAL_PATH_SLACK + ORDERING.START_DELAY_MS);
  if (begun || nowMs <= latestRelaxedMs) {
    return { rank: RANK.ON_SCHEDULE, untilMs: begun ? latestInTimeMs : latestRelaxedMs };
  }
  return { rank: RANK.TIGHT, untilMs: latestInTimeMs };
};

/** Returns the order key of a submission at present. */
export const orderKeyOf = (turn: Turn, submission: Submission): OrderKey => {
  const [first] = submission.ready;
  const occurrence = submission.occurrences.get(first?.occurrence ?? 0);
  const dueAtMs = occurrence?.dueAtMs ?? Infinity;
  const priority = queueById(turn.work, submission.row.queue)?.priority ?? 0;
  if (first === undefined || occurrence === undefined || first.spec.lasting) {
    return { rank: RANK.ON_SCHEDULE, priority, dueAtMs, changesAtMs: Infinity };
  }
  const criticalPathMs = submission.criticalPathsMs[first.step] ?? 0;
  const { rank, untilMs } = rankOf(turn, submission, occurrence, criticalPathMs);
  return { rank, priority, dueAtMs, changesAtMs: untilMs };
};
