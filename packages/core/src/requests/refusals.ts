import type { RequestId } from "@heatherferry/common";
import type { FairQueue } from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import { targetsOf } from "../routing/targets.js";
import type { State } from "../state.js";
import { OUTCOME, REQUEST } from "./constants.js";
import type { Refusal, RefusalKind, RequestRecord } from "./types.js";

/**
 * @param kind - Why no target has seen the request.
 * @param retryAfterMs - When it may succeed; null where waiting does not help.
 * @returns The refusal.
 */
export const notRun = (kind: RefusalKind, retryAfterMs: number | null): Refusal => ({
  outcome: OUTCOME.NOT_RUN,
  kind,
  retryAfterMs,
});

/**
 * @param kind - Why it cannot be told whether a target ran the request.
 * @returns The refusal.
 */
export const unknown = (kind: RefusalKind): Refusal => ({
  outcome: OUTCOME.UNKNOWN,
  kind,
  retryAfterMs: null,
});

/**
 * Answers the caller in place of a target.
 *
 * @param state - The state to change.
 * @param requestId - The request, whether or not a record of it was made.
 * @param refusal - What the caller is told.
 * @param effects - Receives the effect.
 */
export const refuse = (
  state: State,
  requestId: RequestId,
  refusal: Refusal,
  effects: Effect[],
): void => {
  const { counters } = state.requests;
  if (refusal.outcome === OUTCOME.NOT_RUN) {
    counters.notRun += 1;
  } else {
    counters.unknown += 1;
  }
  effects.push({ type: "caller/refuse", requestId, refusal });
};

const clamped = (delayMs: number): number =>
  Math.min(REQUEST.MAX_RETRY_AFTER_MS, Math.max(REQUEST.MIN_RETRY_AFTER_MS, delayMs));

/**
 * Time until what waits now has passed through this entry host's slots.
 *
 * @param state - The state to read.
 * @param pool - The pool of the record.
 * @param queue - The pool's queue.
 * @returns The time in ms, within the bounds for callers.
 */
export const expectedWaitMs = (
  state: State,
  pool: RequestRecord["pool"],
  queue: FairQueue,
): number => {
  const targets = targetsOf(state, pool).filter((target) => target.accepting);
  const perSecond = targets.reduce(
    (rate, target) => rate + target.allowance / Math.max(1, target.meanServiceMs),
    0,
  );
  return clamped(perSecond === 0 ? REQUEST.MAX_RETRY_AFTER_MS : queue.length / perSecond);
};
