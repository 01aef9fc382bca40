import type { TeamId } from "@heatherferry/common";
import { zoneCapsWithinLimit, zoneGrantsWithinCap } from "@heatherferry/coordination";
import type { RuleSet } from "@heatherferry/rules";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { startableNow } from "./holdings.js";

/** A team for which an invariant does not hold. */
export interface LimitBreach {
  readonly invariant: "teamNeverAboveLimit" | "zoneGrantsWithinCap" | "zoneCapsWithinLimit";
  readonly team: TeamId;
  readonly count: number;
  readonly limit: number;
}

const sumOver = (states: readonly State[], countOf: (state: State) => number): number =>
  states.reduce((sum, state) => sum + countOf(state), 0);

/**
 * Invariant: what all entry hosts together may have running of a team, when they start
 * one more, is within its limit. Work that was running when the limit was lowered may finish.
 *
 * @param states - States of all live entry hosts, at the same moment.
 * @param rules - The rules in force; while hosts differ, those with the higher limits.
 * @returns The teams for which it does not hold.
 */
export const teamNeverAboveLimit = (
  states: readonly State[],
  rules: RuleSet,
): readonly LimitBreach[] =>
  [...rules.teams.values()].flatMap(({ team, limit }) => {
    const count = sumOver(states, (state) => startableNow(state, team));
    return count <= limit
      ? []
      : [{ invariant: "teamNeverAboveLimit" as const, team, count, limit }];
  });

/**
 * Invariants of escrow rows, one by one.
 *
 * @param row - Any row of the table.
 * @returns The breach, or null.
 */
export const escrowRowBreach = (row: TableRow): LimitBreach | null => {
  const { body } = row;
  if (body.type === "zoneEscrow" && !zoneGrantsWithinCap(body)) {
    return {
      invariant: "zoneGrantsWithinCap",
      team: body.team,
      count: body.cap,
      limit: body.limit,
    };
  }
  if (body.type === "teamEscrow" && !zoneCapsWithinLimit(body)) {
    return { invariant: "zoneCapsWithinLimit", team: body.team, count: 0, limit: body.limit };
  }
  return null;
};
