import type { RequestId } from "@heatherferry/common";
import type { FairQueue } from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import { targetsOf } from "../routing/targets.js";
import type { State } from "../state.js";
import { OUTCOME, REQUEST } from "./constants.js";
import type { Refusal, RefusalKind, RequestRecord } from "./types.js";

/**
 * Creates a refusal of a request that no target has run.
 *
 * @param kind - Why it was not run.
 * @param retryAfterMs - Time until a retry may succeed; null where waiting does not help.
 * @returns The refusal.
 */
export const notRunRefusal = (kind: RefusalKind, retryAfterMs: number | null): Refusal => ({
  outcome: OUTCOME.NOT_RUN,
  kind,
  retryAfterMs,
});

/**
 * Creates a refusal of a request that a target may or may not have run.
 *
 * @param kind - Why the outcome is unknown.
 * @returns The refusal.
 */
export const unknownRefusal = (kind: RefusalKind): Refusal => ({
  outcome: OUTCOME.UNKNOWN,
  kind,
  retryAfterMs: null,
});

/**
 * Sends a refusal to the caller in place of a target's answer.
 *
 * @param state - The state to change.
 * @param requestId - The request; it need not have a record.
 * @param refusal - The refusal.
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

const clampRetryAfterMs = (delayMs: number): number =>
  Math.min(REQUEST.MAX_RETRY_AFTER_MS, Math.max(REQUEST.MIN_RETRY_AFTER_MS, delayMs));

/**
 * Estimates the time until this entry host's slots have run all requests now in a queue.
 *
 * @param state - The state to read.
 * @param pool - The pool.
 * @param queue - The pool's queue.
 * @returns The time in ms, within the bounds of retry delays for callers.
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
  return clampRetryAfterMs(perSecond === 0 ? REQUEST.MAX_RETRY_AFTER_MS : queue.length / perSecond);
};
