import { queueById } from "./catalog.js";
import { ORDERING, SUBMISSION_STATE } from "./constants.js";
import type { Submission } from "./state.js";
import type { Turn } from "./turn.js";
import type { ValueOf } from "@heatherferry/common";

/** What earns callers most goes first. */
export const RANK = {
  IN_TIME: 0,
  /** In time only if it starts at once and its estimate holds. */
  TIGHT: 1,
  /** Past its objective, and still worth something. */
  LATE: 2,
  /** Beyond what its team has a right to. */
  EXCESS: 3,
  /** Too late to be worth anything; it is still done. */
  WORTHLESS: 4,
} as const;

export type Rank = ValueOf<typeof RANK>;

/** Where a submission stands among those that wait for room. */
export interface Standing {
  readonly rank: Rank;
  readonly priority: number;
  readonly dueAtMs: number;
  /** When its rank falls, if nothing of it starts before. */
  readonly changesAtMs: number;
}

/** @returns Whether one gets room before the other. */
export const goesBefore = (one: Standing, other: Standing): boolean => {
  if (one.rank !== other.rank) {
    return one.rank < other.rank;
  }
  return one.priority === other.priority
    ? one.dueAtMs < other.dueAtMs
    : one.priority < other.priority;
};

/** How long a rank holds. */
interface RankFor {
  readonly rank: Rank;
  readonly untilMs: number;
}

const rankOf = (
  { nowMs }: Turn,
  { excess, state }: Submission,
  times: { readonly dueAtMs: number; readonly worthlessAtMs: number },
  chainMs: number,
): RankFor => {
  // The last moments to start at for the work to end in time, or to be worth anything.
  const lateFromMs = times.dueAtMs - chainMs;
  const worthlessFromMs = times.worthlessAtMs - chainMs;
  if (nowMs > worthlessFromMs) {
    return { rank: RANK.WORTHLESS, untilMs: Infinity };
  }
  if (excess) {
    return { rank: RANK.EXCESS, untilMs: worthlessFromMs };
  }
  if (nowMs > lateFromMs) {
    return { rank: RANK.LATE, untilMs: worthlessFromMs };
  }
  // Work that is begun and then waits has taken room in vain.
  const begun = state !== SUBMISSION_STATE.QUEUED;
  const tightFromMs = lateFromMs - (chainMs * ORDERING.CHAIN_ROOM + ORDERING.START_MS);
  if (begun || nowMs <= tightFromMs) {
    return { rank: RANK.IN_TIME, untilMs: begun ? lateFromMs : tightFromMs };
  }
  return { rank: RANK.TIGHT, untilMs: lateFromMs };
};

/** @returns Where a submission stands now. */
export const standingOf = (turn: Turn, submission: Submission): Standing => {
  const [first] = submission.ready;
  const occurrence = submission.occurrences.get(first?.occurrence ?? 0);
  const dueAtMs = occurrence?.dueAtMs ?? Infinity;
  const priority = queueById(turn.work, submission.handIn.queue)?.priority ?? 0;
  if (first === undefined || occurrence === undefined || first.spec.lasting) {
    return { rank: RANK.IN_TIME, priority, dueAtMs, changesAtMs: Infinity };
  }
  const chainMs = submission.chainsMs[first.step] ?? 0;
  const { rank, untilMs } = rankOf(turn, submission, occurrence, chainMs);
  return { rank, priority, dueAtMs, changesAtMs: untilMs };
};
