import type { PoolId, TeamId } from "@heatherferry/common";
import { targetsOf } from "../routing/targets.js";
import type { State } from "../state.js";
import { LIMITS } from "./constants.js";
import { holdingOf } from "./holdings.js";
import type { TeamHolding } from "./types.js";

const availableSlots = (state: State, pool: PoolId): number =>
  targetsOf(state, pool).reduce(
    (sum, { accepting, allowance }) => sum + (accepting ? allowance : 0),
    0,
  );

/** Counts queued requests by team; each pool counts for no more than its slots could run. */
const waitingByTeam = (state: State): Map<TeamId, number> => {
  const waiting = new Map<TeamId, number>();
  for (const [pool, queue] of state.queues.pools) {
    if (queue.length === 0) {
      continue;
    }
    const slots = availableSlots(state, pool);
    for (const { team, length } of queue.teams.values()) {
      waiting.set(team, (waiting.get(team) ?? 0) + Math.min(length, slots));
    }
  }
  return waiting;
};

const recordDemand = (state: State, holding: TeamHolding, demand: number): void => {
  const isPeakOver = state.nowMs - holding.wantedAtMs > LIMITS.DEMAND_HOLD_MS;
  if (demand > holding.wanted) {
    holding.recheckAtMs = 0;
  }
  if (demand >= holding.wanted || isPeakOver) {
    holding.wanted = demand;
    holding.wantedAtMs = state.nowMs;
  }
};

/**
 * Updates how many requests of each team this entry host could run now if there were no limits.
 *
 * @param state - The state to change.
 */
export const refreshDemand = (state: State): void => {
  const waiting = waitingByTeam(state);
  for (const team of waiting.keys()) {
    holdingOf(state, team);
  }
  for (const holding of state.limits.holdings.values()) {
    recordDemand(state, holding, holding.running + (waiting.get(holding.team) ?? 0));
  }
};
