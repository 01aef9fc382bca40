import { attemptId, type PoolId, type TeamId } from "@heatherferry/common";
import {
  peekNext,
  startPicked,
  type FairQueue,
  type PickedRequest,
} from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import { isHostViewValid } from "../fleet/hostView.js";
import { holdingOf, mayStart } from "../limits/holdings.js";
import type { Policies } from "../policies/policies.js";
import { hasFreeSlot } from "../policies/placementPolicy.js";
import { earnRetryTokens, targetsOf } from "../routing/targets.js";
import type { Target } from "../routing/types.js";
import type { State } from "../state.js";
import { REQUEST, REQUEST_PHASE } from "./constants.js";
import type { Attempt, RequestRecord } from "./types.js";

const beginAttempt = (state: State, record: RequestRecord, target: Target): Attempt => {
  state.requests.nextAttemptSequence += 1;
  const attempt: Attempt = {
    attemptId: attemptId(`${record.requestId}#${state.requests.nextAttemptSequence}`),
    requestId: record.requestId,
    hostId: target.hostId,
    pool: record.pool,
    team: record.team,
    startedAtMs: state.nowMs,
    chargedMs: target.meanServiceMs,
  };
  state.requests.attempts.set(attempt.attemptId, attempt);
  target.running += 1;
  holdingOf(state, record.team).running += 1;
  return attempt;
};

const dispatch = (state: State, record: RequestRecord, target: Target, effects: Effect[]): void => {
  if (record.attempts === 0) {
    earnRetryTokens(state);
  }
  const attempt = beginAttempt(state, record, target);
  record.phase = REQUEST_PHASE.RUNNING;
  record.attempts += 1;
  record.attemptId = attempt.attemptId;
  effects.push({
    type: "attempt/dispatch",
    requestId: record.requestId,
    attemptId: attempt.attemptId,
    hostId: target.hostId,
    address: target.address,
    silenceTimeoutMs: REQUEST.SILENCE_TIMEOUT_MS,
  });
};

const startNext = (
  state: State,
  queue: FairQueue,
  picked: PickedRequest,
  targets: readonly Target[],
  policies: Policies,
  effects: Effect[],
): boolean => {
  const record = state.requests.records.get(picked.requestId);
  if (record === undefined) {
    startPicked(queue, picked, 0);
    return true;
  }
  const target = policies.placement.choose(targets, record.triedHosts);
  if (target === null) {
    return false;
  }
  startPicked(queue, picked, target.meanServiceMs);
  dispatch(state, record, target, effects);
  return true;
};

/** Caches by team whether it may start a request; cleared for a team when one of its starts. */
type Eligibility = Map<TeamId, boolean>;

const isEligible = (state: State, eligibility: Eligibility, team: TeamId): boolean => {
  const known = eligibility.get(team);
  if (known !== undefined) {
    return known;
  }
  const found = mayStart(state, team);
  eligibility.set(team, found);
  return found;
};

const startReadyOfPool = (
  state: State,
  pool: PoolId,
  policies: Policies,
  eligibility: Eligibility,
  effects: Effect[],
): void => {
  const queue = state.queues.pools.get(pool);
  if (queue === undefined) {
    return;
  }
  const targets = targetsOf(state, pool);
  let canContinue = queue.length > 0;
  while (canContinue && targets.some(hasFreeSlot)) {
    const picked = peekNext(queue, (team) => isEligible(state, eligibility, team));
    canContinue = picked !== null && startNext(state, queue, picked, targets, policies, effects);
    if (picked !== null) {
      eligibility.delete(picked.team);
    }
  }
};

/**
 * Starts queued requests, in fair-queue order, in each pool due for a recheck, while slots and
 * limits allow.
 *
 * @param state - The state to change.
 * @param policies - The node's policies.
 * @param effects - Receives the dispatches.
 */
export const startReady = (state: State, policies: Policies, effects: Effect[]): void => {
  const { poolsToRecheck } = state.queues;
  if (poolsToRecheck.size === 0 || !isHostViewValid(state)) {
    return;
  }
  const pools = [...poolsToRecheck];
  const eligibility: Eligibility = new Map();
  poolsToRecheck.clear();
  for (const pool of pools) {
    startReadyOfPool(state, pool, policies, eligibility, effects);
  }
};
