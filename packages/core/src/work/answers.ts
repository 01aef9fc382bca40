import { catalogAgeMs } from "./catalog.js";
import { ANSWER_KIND, CALL } from "./constants.js";
import type { CallAnswer, Commit } from "./events.js";
import { awaitCommit, closeCall } from "./openCalls.js";
import type { OpenCall } from "./state.js";
import { logLine, loggedMs, type Turn } from "./turn.js";

/** Tells a caller the outcome and logs what decided it. */
export const answer = (
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

/** Tells a caller that nothing was done, and when to come back. */
export const unavailable = (turn: Turn, callId: string, problem: string): void => {
  answer(
    turn,
    { callId, kind: ANSWER_KIND.UNAVAILABLE, retryAfterMs: CALL.RETRY_AFTER_MS, problem },
    { viewAgeMs: loggedMs(catalogAgeMs(turn)) },
  );
};

/** Sends, or sends again, the write that a call waits for. */
export const sendCommit = (turn: Turn, call: OpenCall, commit: Commit): void => {
  awaitCommit(turn.work, call, commit);
  turn.effects.push({ type: "store/commit", ...commit });
};
