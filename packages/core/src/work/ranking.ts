import { queueById } from "./catalog.js";
import { ORDERING, SUBMISSION_STATE } from "./constants.js";
import { lookedAt } from "./effort.js";
import type { PoolWork, Submission } from "./state.js";
import type { Turn } from "./turn.js";

/** What earns callers most goes first. */
const RANK = {
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

interface Ranked {
  readonly submission: Submission;
  readonly priority: number;
  readonly rank: number;
  readonly dueAtMs: number;
}

const rankOf = (turn: Turn, submission: Submission): Omit<Ranked, "submission" | "priority"> => {
  const [first] = submission.ready;
  const occurrence = submission.occurrences.get(first?.occurrence ?? 0);
  const dueAtMs = occurrence?.dueAtMs ?? Infinity;
  if (first === undefined || occurrence === undefined || first.spec.lasting) {
    return { rank: RANK.IN_TIME, dueAtMs };
  }
  const chainMs = submission.chainsMs[first.step] ?? 0;
  const doneAtMs = turn.nowMs + chainMs;
  if (doneAtMs > occurrence.worthlessAtMs) {
    return { rank: RANK.WORTHLESS, dueAtMs };
  }
  if (submission.excess) {
    return { rank: RANK.EXCESS, dueAtMs };
  }
  if (doneAtMs > dueAtMs) {
    return { rank: RANK.LATE, dueAtMs };
  }
  // Work that is begun and then waits has taken room in vain.
  const begun = submission.state !== SUBMISSION_STATE.QUEUED;
  const roomMs = chainMs * ORDERING.CHAIN_ROOM + ORDERING.START_MS;
  const tight = !begun && doneAtMs + roomMs > dueAtMs;
  return { rank: tight ? RANK.TIGHT : RANK.IN_TIME, dueAtMs };
};

/** What room for a submission that waits is worth to its caller. */
export interface Prospect {
  /** It can still be in time, and is within its team's right. */
  readonly inTime: boolean;
  /** It is too late to be worth anything. */
  readonly worthless: boolean;
}

/** @returns What a submission that waits has to expect. */
export const prospectOf = (turn: Turn, submission: Submission): Prospect => {
  const { rank } = rankOf(turn, submission);
  return { inTime: rank <= RANK.TIGHT, worthless: rank === RANK.WORTHLESS };
};

/** @returns The submissions that wait for room in a pool, in the order in which they get it. */
export const inOrder = (turn: Turn, pool: PoolWork): readonly Submission[] => {
  const ranked: Ranked[] = [];
  lookedAt(turn, pool.waiting.size);
  for (const submission of pool.waiting) {
    if (submission.ready.size === 0) {
      pool.waiting.delete(submission);
    } else {
      const queue = queueById(turn.work.catalog, submission.handIn.queue);
      const priority = queue?.priority ?? 0;
      ranked.push({ submission, priority, ...rankOf(turn, submission) });
    }
  }
  ranked.sort(
    (one, other) =>
      one.rank - other.rank || one.priority - other.priority || one.dueAtMs - other.dueAtMs,
  );
  return ranked.map(({ submission }) => submission);
};
