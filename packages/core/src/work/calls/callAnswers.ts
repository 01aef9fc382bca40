import { catalogAgeMs } from "../store/catalog.js";
import { countRefusal, outageReturn, REFUSAL_REASON } from "../admission/index.js";
import { ANSWER_KIND } from "../constants.js";
import type { CallAnswer, Commit } from "../events.js";
import { awaitCommit, closeCall } from "./openCalls.js";
import type { OpenCall } from "../state.js";
import { logLine, roundedMs, type Turn } from "../turn.js";

/**
 * Answers a call, closes it and logs the outcome.
 *
 * @param inputs - Further log fields: the values that the outcome depends on.
 */
export const answerCall = (
  turn: Turn,
  call: CallAnswer,
  inputs: Record<string, string | number | null> = {},
): void => {
  closeCall(turn.work, call.callId);
  turn.effects.push({ type: "call/answer", ...call });
  const level =
    call.kind === ANSWER_KIND.UNKNOWN || call.kind === ANSWER_KIND.UNAVAILABLE ? "warn" : "info";
  logLine(turn, level, "call.answered", {
    call: call.callId,
    outcome: call.kind,
    ...(call.state === undefined ? {} : { state: call.state }),
    ...(call.problem === undefined ? {} : { problem: call.problem }),
    revision: turn.work.catalog?.revision ?? null,
    ...inputs,
  });
};

/**
 * Answers that nothing was stored and that the caller may retry after a delay, which grows with the
 * outage that it is refused for.
 */
export const answerUnavailable = (turn: Turn, callId: string, problem: string): void => {
  const { work, nowMs } = turn;
  const { admission } = work;
  const silentSinceMs = work.storeAnsweredAtMs ?? nowMs;
  const { delayMs, outage } = outageReturn(callId, admission.outage, silentSinceMs, nowMs);
  admission.outage = outage;
  countRefusal(admission, REFUSAL_REASON.UNAVAILABLE);
  answerCall(
    turn,
    { callId, kind: ANSWER_KIND.UNAVAILABLE, retryAfterMs: delayMs, problem },
    {
      viewAgeMs: roundedMs(catalogAgeMs(turn)),
      outageMs: roundedMs(nowMs - outage.sinceMs),
      retryAfterMs: roundedMs(delayMs),
    },
  );
};

/** Sends the write that a call waits for, for the first time or as a retry. */
export const sendCallCommit = (turn: Turn, call: OpenCall, commit: Commit): void => {
  awaitCommit(turn.work, call, commit);
  turn.effects.push({ type: "store/commit", ...commit });
};
