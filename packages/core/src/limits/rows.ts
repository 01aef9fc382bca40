import type { RowKey, TeamId } from "@heatherferry/common";
import {
  emptyTeamEscrow,
  emptyZoneEscrow,
  type StatedLimit,
  type TeamEscrow,
  type ZoneEscrow,
} from "@heatherferry/coordination";
import { ROW_PREFIX } from "../platform/constants.js";
import { mirroredRow } from "../platform/mirror.js";
import { rowKeyOf } from "../platform/writes.js";
import type { State } from "../state.js";
import { statedLimitOf } from "./holdings.js";

/**
 * Returns the key prefix of the escrow rows of this node's zone.
 *
 * @param state - The state to read.
 * @returns The prefix.
 */
export const zoneEscrowPrefix = (state: State): RowKey =>
  rowKeyOf(ROW_PREFIX.ZONE_ESCROW, state.node.identity.availabilityZone, "/");

/**
 * Returns the key of a team's escrow row in this zone.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns The key.
 */
export const zoneEscrowKey = (state: State, team: TeamId): RowKey =>
  rowKeyOf(zoneEscrowPrefix(state), team);

/**
 * Returns the key of a team's own escrow row, which splits its limit into zone caps.
 *
 * @param team - The team.
 * @returns The key.
 */
export const teamEscrowKey = (team: TeamId): RowKey => rowKeyOf(ROW_PREFIX.TEAM_ESCROW, team);

/**
 * Returns a team's limit in the rules in force and the revision of these rules.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns The limit; 0 for a team that is not in the rules.
 */
export const statedLimitWithRevision = (state: State, team: TeamId): StatedLimit => ({
  limit: statedLimitOf(state, team),
  revision: state.revisions.revision,
});

/**
 * Returns this zone's escrow of a team as in the mirror.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns The escrow; empty where there is no row.
 */
export const zoneEscrowOf = (state: State, team: TeamId): ZoneEscrow => {
  const row = mirroredRow(state, zoneEscrowKey(state, team), "zoneEscrow");
  if (row === null) {
    return emptyZoneEscrow(statedLimitOf(state, team));
  }
  const { cap, limit, above, grants } = row.body;
  return { cap, limit, above, grants };
};

/**
 * Returns a team's own escrow as in the mirror.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns The escrow; empty where there is no row.
 */
export const teamEscrowOf = (state: State, team: TeamId): TeamEscrow => {
  const row = mirroredRow(state, teamEscrowKey(team), "teamEscrow");
  if (row === null) {
    return emptyTeamEscrow(statedLimitWithRevision(state, team));
  }
  const { limit, revision, zones, earlier } = row.body;
  return { limit, revision, zones, earlier };
};
