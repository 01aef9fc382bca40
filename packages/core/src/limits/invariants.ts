import type { TeamId } from "@heatherferry/common";
import { zoneCapsWithinLimit, zoneGrantsWithinCap } from "@heatherferry/coordination";
import type { RuleSet } from "@heatherferry/rules";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { startableNow } from "./holdings.js";

/** An invariant of limits that does not hold for a team. */
export interface LimitViolation {
  readonly invariant: "teamNeverAboveLimit" | "zoneGrantsWithinCap" | "zoneCapsWithinLimit";
  readonly team: TeamId;
  readonly count: number;
  readonly limit: number;
}

const sumOver = (states: readonly State[], countOf: (state: State) => number): number =>
  states.reduce((sum, state) => sum + countOf(state), 0);

/**
 * Invariant: the number of requests of a team up to which entry hosts may start work, summed over
 * all of them, is within the team's limit. Work that ran before the limit was lowered may finish.
 *
 * @param states - States of all live entry hosts at the same time.
 * @param rules - The rules in force; while hosts differ, the highest limit of each team.
 * @returns One violation for each team over its limit.
 */
export const teamNeverAboveLimit = (
  states: readonly State[],
  rules: RuleSet,
): readonly LimitViolation[] =>
  [...rules.teams.values()].flatMap(({ team, limit }) => {
    const count = sumOver(states, (state) => startableNow(state, team));
    return count <= limit
      ? []
      : [{ invariant: "teamNeverAboveLimit" as const, team, count, limit }];
  });

/**
 * Checks the invariant of an escrow row.
 *
 * @param row - Any row of the table.
 * @returns The violation; null if there is none or the row is not an escrow row.
 */
export const escrowRowViolation = (row: TableRow): LimitViolation | null => {
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
