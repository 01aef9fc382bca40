import { capSum } from "./caps.js";
import { grantedSum } from "./grants.js";
import type { TeamEscrow, ZoneEscrow } from "./types.js";

/**
 * Checks the invariant that the grants of a zone never exceed the zone's cap.
 *
 * @param zone - A zone's escrow.
 * @returns Whether the invariant holds.
 */
export const zoneGrantsWithinCap = (zone: ZoneEscrow): boolean =>
  grantedSum(zone.grants) <= zone.cap;

/**
 * Checks the invariant that the caps of all zones never exceed the limit. Until all zones have
 * adopted a lowered limit, the caps may still add up to an earlier one.
 *
 * @param team - A team's escrow.
 * @returns Whether the invariant holds.
 */
export const zoneCapsWithinLimit = (team: TeamEscrow): boolean => {
  const stamps = Object.values(team.zones).map((zone) => zone.limit);
  const earlier = team.earlier.map((entry) => entry.limit);
  return capSum(team) <= Math.max(team.limit, ...stamps, ...earlier);
};
