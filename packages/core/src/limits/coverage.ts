import type { AttemptId } from "@heatherferry/common";
import { coveredCount } from "@heatherferry/coordination";
import type { Effect } from "../effect.js";
import type { State } from "../state.js";
import { tableLatestMs } from "./holdings.js";
import type { TeamHolding } from "./types.js";

const abortAttempt = (state: State, attemptId: AttemptId, effects: Effect[]): void => {
  const attempt = state.requests.attempts.get(attemptId);
  if (attempt === undefined || state.limits.abortedAttempts.has(attemptId)) {
    return;
  }
  state.limits.abortedAttempts.add(attemptId);
  state.limits.counters.stopped += 1;
  effects.push({ type: "attempt/abort", requestId: attempt.requestId, attemptId, silent: false });
};

const abortUncoveredOfTeam = (
  state: State,
  holding: TeamHolding,
  latestMs: number,
  effects: Effect[],
): void => {
  const covered = coveredCount(holding.grant, state.limits.terms, latestMs);
  if (holding.running <= covered) {
    return;
  }
  const running = [...state.requests.attempts.values()].filter(
    (attempt) => attempt.team === holding.team,
  );
  for (const attempt of running.slice(covered)) {
    abortAttempt(state, attempt.attemptId, effects);
  }
};

const removeEndedAttempts = (state: State): void => {
  for (const attemptId of state.limits.abortedAttempts) {
    if (!state.requests.attempts.has(attemptId)) {
      state.limits.abortedAttempts.delete(attemptId);
    }
  }
};

/**
 * Aborts attempts that no grant covers any more: their grant expired so long ago that another
 * entry host may already use the same part of the limit. The latest started are aborted first.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const abortUncoveredAttempts = (state: State, effects: Effect[]): void => {
  const latestMs = tableLatestMs(state);
  if (latestMs === null) {
    return;
  }
  removeEndedAttempts(state);
  for (const holding of state.limits.holdings.values()) {
    if (holding.running > 0) {
      abortUncoveredOfTeam(state, holding, latestMs, effects);
    }
  }
};
