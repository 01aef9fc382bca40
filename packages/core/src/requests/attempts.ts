import { charge } from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import { holdingOf } from "../limits/holdings.js";
import type { Policies } from "../policies/policies.js";
import { poolQueue } from "../queues/poolQueues.js";
import { noteFailure, noteSuccess, spendRetryToken } from "../routing/targets.js";
import type { State } from "../state.js";
import { queueRequest } from "./admission.js";
import { ATTEMPT_STAGE, REFUSAL_KIND, REQUEST, REQUEST_PHASE } from "./constants.js";
import { notRun, refuse, unknown } from "./refusals.js";
import type { Attempt, Refusal, RequestRecord, RequestsEvent } from "./types.js";

type EventOf<Type extends RequestsEvent["type"]> = Extract<RequestsEvent, { type: Type }>;

const SERVER_ERROR_STATUS = 500;

/** The request that the attempt still counts for; null when its events come too late. */
const currentRecord = (state: State, attempt: Attempt): RequestRecord | null => {
  const record = state.requests.records.get(attempt.requestId);
  return record?.attemptId === attempt.attemptId ? record : null;
};

/** Gives back what the attempt held, and charges the team for the slot time really used. */
const releaseAttempt = (state: State, attempt: Attempt): void => {
  state.requests.attempts.delete(attempt.attemptId);
  const target = state.routing.targets.get(attempt.hostId);
  if (target !== undefined) {
    target.running -= 1;
    state.queues.changed.add(target.pool);
  }
  holdingOf(state, attempt.team).running -= 1;
  const usedMs = state.nowMs - attempt.startedAtMs;
  charge(poolQueue(state, attempt.pool), attempt.team, usedMs - attempt.chargedMs);
  state.queues.changed.add(attempt.pool);
};

const endRequest = (state: State, record: RequestRecord): void => {
  state.requests.records.delete(record.requestId);
};

const mayRetry = (state: State, record: RequestRecord, replayable: boolean): boolean =>
  replayable && record.attempts < REQUEST.MAX_ATTEMPTS && state.nowMs < record.deadlineAtMs;

const retry = (state: State, record: RequestRecord, attempt: Attempt): void => {
  record.attemptId = null;
  record.triedHosts.push(attempt.hostId);
  state.requests.counters.retried += 1;
  queueRequest(state, record, true);
};

const stopAttempt = (
  { requestId, attemptId }: EventOf<"attempt/answerBegan">,
  effects: Effect[],
): void => {
  effects.push({ type: "attempt/abort", requestId, attemptId, silent: false });
};

const onAnswerBegan = (
  state: State,
  event: EventOf<"attempt/answerBegan">,
  policies: Policies,
  effects: Effect[],
): void => {
  const attempt = state.requests.attempts.get(event.attemptId);
  const record = attempt === undefined ? null : currentRecord(state, attempt);
  if (attempt === undefined || record === null) {
    state.requests.counters.lateAnswersDropped += 1;
    stopAttempt(event, effects);
    return;
  }
  record.mayHaveRun = true;
  const target = state.routing.targets.get(attempt.hostId);
  const failed = event.statusCode >= SERVER_ERROR_STATUS;
  if (failed && target !== undefined) {
    noteFailure(state, target, policies);
  }
  const retryable = record.idempotent && mayRetry(state, record, event.replayable);
  if (failed && retryable && spendRetryToken(state)) {
    retry(state, record, attempt);
    stopAttempt(event, effects);
    return;
  }
  record.phase = REQUEST_PHASE.ANSWERING;
  effects.push({
    type: "caller/relay",
    requestId: record.requestId,
    attemptId: attempt.attemptId,
    attached: record.attached,
    keepAs: record.workKey,
    failed,
  });
};

const onCompleted = (state: State, event: EventOf<"attempt/completed">): void => {
  const attempt = state.requests.attempts.get(event.attemptId);
  if (attempt === undefined) {
    return;
  }
  const record = currentRecord(state, attempt);
  releaseAttempt(state, attempt);
  const target = state.routing.targets.get(attempt.hostId);
  if (target !== undefined && !event.failed) {
    noteSuccess(target, state.nowMs - attempt.startedAtMs);
  }
  if (record !== null) {
    state.requests.counters.answered += 1;
    endRequest(state, record);
  }
};

/** What the caller is told when no further attempt is made. */
const finalRefusal = (record: RequestRecord, event: EventOf<"attempt/failed">): Refusal => {
  if (!record.mayHaveRun) {
    return notRun(REFUSAL_KIND.TARGET_UNREACHABLE, REQUEST.MIN_RETRY_AFTER_MS);
  }
  return unknown(event.silent ? REFUSAL_KIND.TARGET_SILENT : REFUSAL_KIND.TARGET_BROKE_OFF);
};

const isRetried = (
  state: State,
  record: RequestRecord,
  event: EventOf<"attempt/failed">,
): boolean => {
  if (!mayRetry(state, record, event.replayable)) {
    return false;
  }
  if (event.stage === ATTEMPT_STAGE.NOT_SENT) {
    return true;
  }
  return record.idempotent && event.stage === ATTEMPT_STAGE.SENT && spendRetryToken(state);
};

const failRequest = (
  state: State,
  record: RequestRecord,
  attempt: Attempt,
  event: EventOf<"attempt/failed">,
  effects: Effect[],
): void => {
  record.mayHaveRun ||= event.stage !== ATTEMPT_STAGE.NOT_SENT;
  if (record.phase === REQUEST_PHASE.ANSWERING) {
    endRequest(state, record);
    state.requests.counters.unknown += 1;
    effects.push({ type: "caller/breakOff", requestId: record.requestId });
    return;
  }
  if (isRetried(state, record, event)) {
    retry(state, record, attempt);
    return;
  }
  endRequest(state, record);
  refuse(state, record.requestId, finalRefusal(record, event), effects);
};

const onFailed = (
  state: State,
  event: EventOf<"attempt/failed">,
  policies: Policies,
  effects: Effect[],
): void => {
  const attempt = state.requests.attempts.get(event.attemptId);
  if (attempt === undefined) {
    return;
  }
  const record = currentRecord(state, attempt);
  releaseAttempt(state, attempt);
  const target = state.routing.targets.get(attempt.hostId);
  if (target !== undefined && !event.aborted) {
    noteFailure(state, target, policies);
  }
  if (record !== null) {
    failRequest(state, record, attempt, event, effects);
  }
};

/**
 * Follows the attempts on targets.
 *
 * @param state - The state to change.
 * @param event - An event of an attempt.
 * @param policies - The node's policies.
 * @param effects - Receives the effects.
 */
export const reduceAttempts = (
  state: State,
  event: EventOf<"attempt/answerBegan" | "attempt/completed" | "attempt/failed">,
  policies: Policies,
  effects: Effect[],
): void => {
  switch (event.type) {
    case "attempt/answerBegan":
      onAnswerBegan(state, event, policies, effects);
      return;
    case "attempt/completed":
      onCompleted(state, event);
      return;
    case "attempt/failed":
      onFailed(state, event, policies, effects);
  }
};
