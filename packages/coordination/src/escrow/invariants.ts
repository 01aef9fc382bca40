import { capSum } from "./caps.js";
import { grantedSum } from "./grants.js";
import type { TeamEscrow, ZoneEscrow } from "./types.js";

/**
 * Invariant: what is granted in a zone never exceeds the zone's cap.
 *
 * @param zone - A zone's escrow.
 * @returns Whether it holds.
 */
export const zoneGrantsWithinCap = (zone: ZoneEscrow): boolean =>
  grantedSum(zone.grants) <= zone.cap;

/**
 * Invariant: the caps of all zones never exceed the limit. While a lowered limit is being
 * taken over they may still add up to an earlier one.
 *
 * @param team - A team's escrow.
 * @returns Whether it holds.
 */
export const zoneCapsWithinLimit = (team: TeamEscrow): boolean => {
  const stamps = Object.values(team.zones).map((zone) => zone.limit);
  const earlier = team.earlier.map((entry) => entry.limit);
  return capSum(team) <= Math.max(team.limit, ...stamps, ...earlier);
};
