import type { RequestId } from "@heatherferry/common";
import { removeRequest } from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import type { Policies } from "../policies/policies.js";
import { poolQueue } from "../queues/poolQueues.js";
import { ROUTING } from "../routing/constants.js";
import { recordFailure } from "../routing/targets.js";
import type { State } from "../state.js";
import { admitRequest } from "./admission.js";
import { reduceAttempts } from "./attempts.js";
import { REFUSAL_KIND, REQUEST_PHASE } from "./constants.js";
import { takeExpired } from "./deadlines.js";
import { expectedWaitMs, notRunRefusal, refuse, unknownRefusal } from "./refusals.js";
import { endWithdrawnWork, continuesWithoutCaller } from "../tickets/workRecords.js";
import type { RequestRecord, RequestsState } from "./types.js";

export const initialRequests = (): RequestsState => ({
  records: new Map(),
  attempts: new Map(),
  deadlines: new Map(),
  nextDeadlineBucket: 0,
  nextAttemptSequence: 0,
  counters: {
    arrived: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    cancelled: 0,
    lateAnswersDropped: 0,
    retried: 0,
  },
});

/** Removes a request; a running attempt is aborted and keeps its slot until it has ended. */
const dropRequest = (
  state: State,
  record: RequestRecord,
  silent: boolean,
  effects: Effect[],
): void => {
  state.requests.records.delete(record.requestId);
  removeRequest(poolQueue(state, record.pool), record.requestId);
  if (record.attemptId !== null) {
    const { requestId, attemptId } = record;
    effects.push({ type: "attempt/abort", requestId, attemptId, silent });
  }
};

/** Records a failure of a target whose attempt has run far beyond the mean service time. */
const recordUnresponsive = (state: State, record: RequestRecord, policies: Policies): boolean => {
  const attempt = record.attemptId && state.requests.attempts.get(record.attemptId);
  const target = attempt && state.routing.targets.get(attempt.hostId);
  if (!attempt || !target) {
    return false;
  }
  const runningMs = state.nowMs - attempt.startedAtMs;
  const unresponsiveAfterMs = Math.max(
    ROUTING.MIN_SUSPECT_SILENCE_MS,
    target.meanServiceMs * ROUTING.SUSPECT_SILENCE_FACTOR,
  );
  if (runningMs < unresponsiveAfterMs) {
    return false;
  }
  recordFailure(state, target, policies);
  return true;
};

const expire = (
  state: State,
  record: RequestRecord,
  policies: Policies,
  effects: Effect[],
): void => {
  if (record.phase === REQUEST_PHASE.ANSWERING) {
    return;
  }
  const mayHaveRun = record.mayHaveRun || record.phase === REQUEST_PHASE.RUNNING;
  const kind =
    record.phase === REQUEST_PHASE.CLAIMING
      ? REFUSAL_KIND.CLAIM_UNAVAILABLE
      : REFUSAL_KIND.DEADLINE;
  const silent = recordUnresponsive(state, record, policies);
  dropRequest(state, record, silent, effects);
  const queue = poolQueue(state, record.pool);
  const refusal = mayHaveRun
    ? unknownRefusal(REFUSAL_KIND.DEADLINE)
    : notRunRefusal(kind, expectedWaitMs(state, record.pool, queue));
  refuse(state, record.requestId, refusal, effects);
};

const expireDue = (state: State, policies: Policies, effects: Effect[]): void => {
  for (const requestId of takeExpired(state)) {
    const record = state.requests.records.get(requestId);
    if (record !== undefined) {
      expire(state, record, policies, effects);
    }
  }
};

const cancel = (state: State, requestId: RequestId, effects: Effect[]): void => {
  const record = state.requests.records.get(requestId);
  if (continuesWithoutCaller(state, requestId)) {
    return;
  }
  if (record !== undefined) {
    state.requests.counters.cancelled += 1;
    dropRequest(state, record, false, effects);
    endWithdrawnWork(state, requestId);
  }
};

/**
 * Handles the events of requests, from arrival to their single outcome.
 *
 * @param state - The state to change.
 * @param event - Any event.
 * @param policies - The node's policies.
 * @param effects - Receives the effects.
 */
export const reduceRequests = (
  state: State,
  event: Event,
  policies: Policies,
  effects: Effect[],
): void => {
  switch (event.type) {
    case "request/arrived":
      admitRequest(state, event, effects);
      return;
    case "request/cancelled":
      cancel(state, event.requestId, effects);
      return;
    case "attempt/answerBegan":
    case "attempt/completed":
    case "attempt/failed":
      reduceAttempts(state, event, policies, effects);
      return;
    case "clock/ticked":
      expireDue(state, policies, effects);
      return;
    default:
      return;
  }
};
