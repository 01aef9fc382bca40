import type { WorkSpec } from "../../src/index.js";

/** Target duration of the queue: a multiple of the critical path, and some time more. */
export const TARGET = { STRETCH_FACTOR: 2, DURATION_MS: 500 } as const;

/** A call that was refused, and when its caller was told to return. */
interface RefusedAttempt {
  readonly atMs: number;
  readonly returnAtMs: number;
}

/** A submission as its caller sees it. */
export interface CallerOutcome {
  readonly id: string;
  readonly team: string;
  readonly work: WorkSpec;
  readonly firstSentMs: number;
  attempts: number;
  readonly refused: RefusedAttempt[];
  /** Whether some call got no answer, or one that leaves open whether it was stored. */
  uncertain: boolean;
  acceptedAtMs: number | null;
  startedAtMs: number | null;
  itemsDone: number;
  completedAtMs: number | null;
}

/** The time until which a result is in time, counted from the first call. */
export const targetMs = ({ work }: CallerOutcome): number =>
  TARGET.DURATION_MS +
  TARGET.STRETCH_FACTOR * work.steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);

/** Whether a result was in time, or at most three times as late. */
export const isUseful = (outcome: CallerOutcome): boolean =>
  outcome.completedAtMs !== null &&
  outcome.completedAtMs - outcome.firstSentMs <= 3 * targetMs(outcome);
