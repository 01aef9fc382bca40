import { isStoreSilent, longestAnswerMs } from "../admission/index.js";
import { OWNERSHIP } from "../constants.js";
import type { WorkloadState } from "../state.js";
import type { Turn } from "../turn.js";

/** Records how long the store took to answer a poll of the owner row. */
export const noteStoreAnswer = ({ admission }: WorkloadState, answerMs: number): void => {
  admission.longestAnswerMs = longestAnswerMs(admission.longestAnswerMs, answerMs);
};

/**
 * Whether a write would remain unanswered, as far as this node can tell. A node that polls the owner
 * row notices sooner than `STORE.LOST_MS` that its polls are not answered; the owner does not poll.
 */
export const isStoreUnreachable = ({ work, nowMs }: Turn): boolean => {
  const { storeLost, storeAnsweredAtMs, owned, admission, lag } = work;
  if (storeLost || owned !== null || storeAnsweredAtMs === null) {
    return storeLost;
  }
  return isStoreSilent({
    silentMs: nowMs - storeAnsweredAtMs,
    askIntervalMs: OWNERSHIP.POLL_MS,
    longestAnswerMs: admission.longestAnswerMs,
    lagMs: lag.smoothedMs,
  });
};
