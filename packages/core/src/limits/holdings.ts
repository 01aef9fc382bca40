import type { TeamId } from "@heatherferry/common";
import type { State } from "../state.js";
import type { LimitsState, TeamHolding } from "./types.js";

export const initialLimits = (): LimitsState => ({
  holdings: new Map(),
  writeInFlight: false,
  nextWriteAtMs: 0,
});

/**
 * @param state - The state to change.
 * @param team - A team; its holding is made when first asked for.
 * @returns What this entry host holds for the team.
 */
export const holdingOf = (state: State, team: TeamId): TeamHolding => {
  const known = state.limits.holdings.get(team);
  if (known !== undefined) {
    return known;
  }
  const made: TeamHolding = {
    running: 0,
    base: 0,
    burst: 0,
    baseUntilMs: 0,
    burstUntilMs: 0,
    grantedLimit: 0,
    wanted: 0,
  };
  state.limits.holdings.set(team, made);
  return made;
};

/**
 * @param state - The state to read.
 * @param team - The team.
 * @returns Whether this entry host may start one more request of the team now.
 */
export const mayStart = (state: State, team: TeamId): boolean => {
  const limit = state.revisions.rules.teams.get(team)?.limit ?? 0;
  return holdingOf(state, team).running < limit;
};
