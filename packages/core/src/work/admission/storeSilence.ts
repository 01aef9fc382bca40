import { STORE_OUTAGE } from "./constants.js";

/** Returns the longest recent answer time of the store after another answer. */
export const longestAnswerMs = (longestMs: number, answerMs: number): number =>
  Math.max(answerMs, longestMs * STORE_OUTAGE.DECAY);

/** What a node that asks the store at a steady interval knows of its answers. */
export interface StoreAnswers {
  /** Time since the last answer. */
  readonly silentMs: number;
  /** Interval at which the node asks. */
  readonly askIntervalMs: number;
  readonly longestAnswerMs: number;
  /** How late the node handles what arrives. */
  readonly lagMs: number;
}

/**
 * Whether the store is silent for longer than a slow store would be: since its last answer a further
 * request was sent, and its answer is overdue by a multiple of the slowest answer of late.
 */
export const isStoreSilent = (answers: StoreAnswers): boolean => {
  const { silentMs, askIntervalMs, longestAnswerMs: slowestMs, lagMs } = answers;
  const expectedMs = askIntervalMs + STORE_OUTAGE.SLOWDOWN * slowestMs;
  return silentMs > Math.max(STORE_OUTAGE.MIN_SILENCE_MS, expectedMs) + lagMs;
};
