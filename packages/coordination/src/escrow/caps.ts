import type { AvailabilityZoneId } from "@heatherferry/common";
import { ESCROW } from "./constants.js";
import { grantedSum, restOf } from "./grants.js";
import { sameStamp, scaledCount } from "./scale.js";
import type {
  EarlierLimit,
  EscrowTerms,
  LimitStamp,
  StatedLimit,
  TeamEscrow,
  ZoneEscrow,
} from "./types.js";

/** A zone's wish to change its part of a team's limit. */
export interface CapRequest {
  readonly availabilityZone: AvailabilityZoneId;
  /** The limit as the asking node's rules state it. */
  readonly stated: StatedLimit;
  /** Count to take, or to give back where below 0. */
  readonly change: number;
}

export interface SettledCaps {
  readonly team: TeamEscrow;
  readonly zone: ZoneEscrow;
}

/**
 * @param stated - The limit as the rules state it.
 * @returns A team's escrow before any zone has a part.
 */
export const emptyTeamEscrow = (stated: StatedLimit): TeamEscrow => ({
  limit: stated.limit,
  revision: stated.revision,
  zones: {},
  earlier: [],
});

/**
 * @param team - A team's escrow.
 * @returns The sum of the caps of all zones.
 */
export const capSum = (team: TeamEscrow): number =>
  Object.values(team.zones).reduce((sum, zone) => sum + zone.cap, 0);

const underNewerRules = (team: TeamEscrow, stated: StatedLimit): TeamEscrow =>
  stated.revision > team.revision
    ? { ...team, limit: stated.limit, revision: stated.revision }
    : team;

/** Shrinks what nobody holds in proportion; grants are shrunk by their holders. */
const lowered = (zone: ZoneEscrow, limit: number): ZoneEscrow => {
  if (zone.limit <= limit) {
    return zone;
  }
  const rest = scaledCount(restOf(zone), zone, limit);
  return {
    ...zone,
    cap: grantedSum(zone.grants) + rest,
    limit,
    above: Math.min(zone.above, limit),
  };
};

/**
 * @param team - A team's escrow.
 * @param id - One of its zones.
 * @param zone - The zone's part as it is to be written; never above what the team's row had.
 * @returns The team's escrow that says the same as the zone's.
 */
export const withZone = (
  team: TeamEscrow,
  id: AvailabilityZoneId,
  zone: ZoneEscrow,
): TeamEscrow => ({
  ...team,
  zones: { ...team.zones, [id]: { cap: zone.cap, limit: zone.limit, above: zone.above } },
});

const stampsInUse = (team: TeamEscrow): readonly number[] => [
  ...Object.values(team.zones).map((zone) => zone.limit),
  ...team.earlier.map((earlier) => earlier.limit),
];

const stampNow = (team: TeamEscrow): LimitStamp => ({
  limit: team.limit,
  above: Math.max(0, ...stampsInUse(team).filter((limit) => limit < team.limit)),
});

/** Keeps a stamp in mind for as long as a grant may carry it. */
const remembered = (
  earlier: readonly EarlierLimit[],
  limits: readonly number[],
  untilMs: number,
  nowMs: number,
): readonly EarlierLimit[] => {
  const byLimit = new Map(earlier.map((entry) => [entry.limit, entry.untilMs]));
  for (const limit of limits) {
    byLimit.set(limit, Math.max(untilMs, byLimit.get(limit) ?? 0));
  }
  return [...byLimit]
    .map(([limit, entryUntilMs]) => ({ limit, untilMs: entryUntilMs }))
    .filter((entry) => entry.untilMs > nowMs)
    .sort((left, right) => left.limit - right.limit);
};

const rememberStamps = (
  team: TeamEscrow,
  stamps: readonly LimitStamp[],
  terms: EscrowTerms,
  tableEarliestMs: number,
): TeamEscrow => {
  const lifeMs = terms.baseTermMs + 2 * (terms.runTailMs + terms.skewMs);
  const limits = stamps.map((stamp) => stamp.limit);
  return {
    ...team,
    earlier: remembered(team.earlier, limits, tableEarliestMs + lifeMs, tableEarliestMs),
  };
};

/** Takes or gives back, and puts the present limit on the zone where all caps fit under it. */
const changeCap = (team: TeamEscrow, zone: ZoneEscrow, change: number): ZoneEscrow => {
  if (change < 0) {
    return { ...zone, cap: zone.cap - Math.min(-change, restOf(zone)) };
  }
  const unassigned = team.limit - capSum(team);
  if (unassigned < 0 || team.earlier.length >= ESCROW.MAX_EARLIER_LIMITS) {
    return zone;
  }
  return { ...zone, cap: zone.cap + Math.min(change, unassigned), ...stampNow(team) };
};

/**
 * Settles a zone's part of a team's limit in one step over both rows: the limit that the rules
 * state is taken over, a lowered one shrinks the zone's free part, and cap is taken from the
 * team's unassigned rest or given back to it.
 *
 * @param team - The team's escrow, under the same rules or older ones.
 * @param zone - The zone's part.
 * @param request - What the zone asks for.
 * @param terms - The terms.
 * @param tableEarliestMs - The earliest that the table's clock may show now.
 * @returns Both as they are to be written.
 */
export const settleCaps = (
  team: TeamEscrow,
  zone: ZoneEscrow,
  request: CapRequest,
  terms: EscrowTerms,
  tableEarliestMs: number,
): SettledCaps => {
  const id = request.availabilityZone;
  const carried = [zone, ...zone.grants].filter((stamp) => stamp.limit !== zone.limit);
  const known = rememberStamps(
    underNewerRules(team, request.stated),
    carried,
    terms,
    tableEarliestMs,
  );
  const shrunk = lowered(zone, known.limit);
  const settled = withZone(known, id, shrunk);
  const before = sameStamp(shrunk, zone) ? [] : [zone];
  const mindful = rememberStamps(settled, before, terms, tableEarliestMs);
  const changed = changeCap(mindful, shrunk, request.change);
  const left = sameStamp(changed, shrunk) ? [] : [shrunk];
  return {
    team: rememberStamps(withZone(mindful, id, changed), left, terms, tableEarliestMs),
    zone: changed,
  };
};
