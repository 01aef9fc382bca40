import { charge } from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import { holdingOf } from "../limits/holdings.js";
import type { Policies } from "../policies/policies.js";
import { poolQueue } from "../queues/poolQueues.js";
import { recordFailure, recordSuccess, spendRetryToken } from "../routing/targets.js";
import type { State } from "../state.js";
import { queueRequest } from "./admission.js";
import { ATTEMPT_STAGE, REFUSAL_KIND, REQUEST, REQUEST_PHASE } from "./constants.js";
import { notRunRefusal, refuse, unknownRefusal } from "./refusals.js";
import type { Attempt, Refusal, RequestRecord, RequestsEvent } from "./types.js";

type EventOf<Type extends RequestsEvent["type"]> = Extract<RequestsEvent, { type: Type }>;

const SERVER_ERROR_STATUS = 500;

/** Returns the attempt's request; null if the attempt is no longer the current one. */
const currentRecord = (state: State, attempt: Attempt): RequestRecord | null => {
  const record = state.requests.records.get(attempt.requestId);
  return record?.attemptId === attempt.attemptId ? record : null;
};

/** Releases the attempt's slot and grant count, and charges the team for the slot time used. */
const releaseAttempt = (state: State, attempt: Attempt): void => {
  state.requests.attempts.delete(attempt.attemptId);
  const target = state.routing.targets.get(attempt.hostId);
  if (target !== undefined) {
    target.running -= 1;
    state.queues.poolsToRecheck.add(target.pool);
  }
  holdingOf(state, attempt.team).running -= 1;
  const usedMs = state.nowMs - attempt.startedAtMs;
  charge(poolQueue(state, attempt.pool), attempt.team, usedMs - attempt.chargedMs);
  state.queues.poolsToRecheck.add(attempt.pool);
};

const removeRecord = (state: State, record: RequestRecord): void => {
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

const abortAttempt = (
  { requestId, attemptId }: EventOf<"attempt/answerBegan">,
  effects: Effect[],
): void => {
  effects.push({ type: "attempt/abort", requestId, attemptId, silent: false });
};

const handleAnswerBegan = (
  state: State,
  event: EventOf<"attempt/answerBegan">,
  policies: Policies,
  effects: Effect[],
): void => {
  const attempt = state.requests.attempts.get(event.attemptId);
  const record = attempt === undefined ? null : currentRecord(state, attempt);
  if (attempt === undefined || record === null) {
    state.requests.counters.lateAnswersDropped += 1;
    abortAttempt(event, effects);
    return;
  }
  record.mayHaveRun = true;
  const target = state.routing.targets.get(attempt.hostId);
  const failed = event.statusCode >= SERVER_ERROR_STATUS;
  if (failed && target !== undefined) {
    recordFailure(state, target, policies);
  }
  const retryable = record.idempotent && mayRetry(state, record, event.replayable);
  if (failed && retryable && spendRetryToken(state)) {
    retry(state, record, attempt);
    abortAttempt(event, effects);
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

const handleCompleted = (state: State, event: EventOf<"attempt/completed">): void => {
  const attempt = state.requests.attempts.get(event.attemptId);
  if (attempt === undefined) {
    return;
  }
  const record = currentRecord(state, attempt);
  releaseAttempt(state, attempt);
  const target = state.routing.targets.get(attempt.hostId);
  if (target !== undefined && !event.failed) {
    recordSuccess(target, state.nowMs - attempt.startedAtMs);
  }
  if (record !== null) {
    state.requests.counters.answered += 1;
    removeRecord(state, record);
  }
};

/** Returns the refusal to send when no further attempt is made. */
const finalRefusal = (record: RequestRecord, event: EventOf<"attempt/failed">): Refusal => {
  if (!record.mayHaveRun) {
    return notRunRefusal(REFUSAL_KIND.TARGET_UNREACHABLE, REQUEST.MIN_RETRY_AFTER_MS);
  }
  return unknownRefusal(event.silent ? REFUSAL_KIND.TARGET_SILENT : REFUSAL_KIND.TARGET_BROKE_OFF);
};

const shouldRetry = (
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
    removeRecord(state, record);
    state.requests.counters.unknown += 1;
    effects.push({ type: "caller/breakOff", requestId: record.requestId });
    return;
  }
  if (shouldRetry(state, record, event)) {
    retry(state, record, attempt);
    return;
  }
  removeRecord(state, record);
  refuse(state, record.requestId, finalRefusal(record, event), effects);
};

const handleFailed = (
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
    recordFailure(state, target, policies);
  }
  if (record !== null) {
    failRequest(state, record, attempt, event, effects);
  }
};

/**
 * Handles the events of attempts on targets.
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
      handleAnswerBegan(state, event, policies, effects);
      return;
    case "attempt/completed":
      handleCompleted(state, event);
      return;
    case "attempt/failed":
      handleFailed(state, event, policies, effects);
  }
};
