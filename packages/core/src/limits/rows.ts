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
 * @param state - The state to read.
 * @returns Key prefix of the escrow rows of this node's zone.
 */
export const zoneEscrowPrefix = (state: State): RowKey =>
  rowKeyOf(ROW_PREFIX.ZONE_ESCROW, state.node.identity.availabilityZone, "/");

/**
 * @param state - The state to read.
 * @param team - The team.
 * @returns Key of the team's escrow row in this zone.
 */
export const zoneEscrowKey = (state: State, team: TeamId): RowKey =>
  rowKeyOf(zoneEscrowPrefix(state), team);

/**
 * @param team - The team.
 * @returns Key of the team's own escrow row, which splits the limit into zone caps.
 */
export const teamEscrowKey = (team: TeamId): RowKey => rowKeyOf(ROW_PREFIX.TEAM_ESCROW, team);

/**
 * @param state - The state to read.
 * @param team - The team.
 * @returns Its limit in the rules in force, with their revision.
 */
export const statedOf = (state: State, team: TeamId): StatedLimit => ({
  limit: statedLimitOf(state, team),
  revision: state.revisions.revision,
});

/**
 * @param state - The state to read.
 * @param team - The team.
 * @returns This zone's escrow of the team as in the mirror; empty where there is no row.
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
 * @param state - The state to read.
 * @param team - The team.
 * @returns The team's escrow as in the mirror; empty where there is no row.
 */
export const teamEscrowOf = (state: State, team: TeamId): TeamEscrow => {
  const row = mirroredRow(state, teamEscrowKey(team), "teamEscrow");
  if (row === null) {
    return emptyTeamEscrow(statedOf(state, team));
  }
  const { limit, revision, zones, earlier } = row.body;
  return { limit, revision, zones, earlier };
};
