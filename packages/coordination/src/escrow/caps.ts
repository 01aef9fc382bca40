import type { AvailabilityZoneId } from "@heatherferry/common";
import { ESCROW } from "./constants.js";
import { fairSplit } from "./fairSplit.js";
import { grantedSum, restOf } from "./grants.js";
import { sameStamp, scaledCount } from "./scale.js";
import type {
  EarlierLimit,
  EscrowTerms,
  LimitStamp,
  StatedLimit,
  TeamEscrow,
  ZoneCap,
  ZoneEscrow,
} from "./types.js";

/** A zone's wish to change its part of a team's limit. */
export interface CapRequest {
  readonly availabilityZone: AvailabilityZoneId;
  /** The limit as the asking node's rules state it. */
  readonly stated: StatedLimit;
  /** Count to take, or to give back where below 0. */
  readonly change: number;
  /** What the zone's holders want together. */
  readonly wanted: number;
}

export interface SettledCaps {
  readonly team: TeamEscrow;
  readonly zone: ZoneEscrow;
  /** The zone's fair part of the limit; infinite while no other zone waits. */
  readonly zoneShare: number;
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
  zones: {
    ...team.zones,
    [id]: {
      cap: zone.cap,
      limit: zone.limit,
      above: zone.above,
      wanted: team.zones[id]?.wanted ?? 0,
      wantedUntilMs: team.zones[id]?.wantedUntilMs ?? 0,
    },
  },
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

/** The zone's fair part of the limit where others wait for theirs. */
const shareOf = (team: TeamEscrow, request: CapRequest, tableEarliestMs: number): number => {
  const others = Object.entries(team.zones).filter(([id]) => id !== request.availabilityZone);
  const waits = (zone: ZoneCap): boolean => zone.wantedUntilMs > tableEarliestMs;
  if (!others.some(([, zone]) => waits(zone))) {
    return Number.POSITIVE_INFINITY;
  }
  const wants = others.map(([, zone]) =>
    waits(zone) ? Math.max(zone.wanted, zone.cap) : zone.cap,
  );
  return fairSplit(team.limit, [request.wanted, ...wants])[0] ?? 0;
};

/** Takes or gives back, and puts the present limit on the zone where all caps fit under it. */
const changeCap = (
  team: TeamEscrow,
  zone: ZoneEscrow,
  change: number,
  zoneShare: number,
): ZoneEscrow => {
  if (change < 0) {
    return { ...zone, cap: zone.cap - Math.min(-change, restOf(zone)) };
  }
  const unassigned = team.limit - capSum(team);
  if (unassigned < 0 || team.earlier.length >= ESCROW.MAX_EARLIER_LIMITS) {
    return zone;
  }
  const mayGrow = Math.max(0, zoneShare - zone.cap);
  return { ...zone, cap: zone.cap + Math.min(change, unassigned, mayGrow), ...stampNow(team) };
};

/** Lets other zones know that this one waits; said again before it lapses, and only then. */
const withWanted = (
  team: TeamEscrow,
  request: CapRequest,
  terms: EscrowTerms,
  tableEarliestMs: number,
): TeamEscrow => {
  const zone = team.zones[request.availabilityZone];
  if (zone === undefined) {
    return team;
  }
  const stands = zone.wantedUntilMs - tableEarliestMs > terms.burstTermMs;
  if (zone.cap >= request.wanted || stands) {
    return team;
  }
  const wantedUntilMs = tableEarliestMs + 2 * terms.burstTermMs;
  const said = { ...zone, wanted: request.wanted, wantedUntilMs };
  return { ...team, zones: { ...team.zones, [request.availabilityZone]: said } };
};

/**
 * Gives back what a zone holds free beyond its fair part.
 *
 * @param zone - A zone's part.
 * @param zoneShare - Its fair part of the limit.
 * @returns The zone's part without it.
 */
export const trimToShare = (zone: ZoneEscrow, zoneShare: number): ZoneEscrow => {
  const beyond = Math.min(restOf(zone), zone.cap - zoneShare);
  return beyond > 0 ? { ...zone, cap: zone.cap - beyond } : zone;
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
  const zoneShare = shareOf(mindful, request, tableEarliestMs);
  const changed = changeCap(mindful, shrunk, request.change, zoneShare);
  const left = sameStamp(changed, shrunk) ? [] : [shrunk];
  const remembering = rememberStamps(withZone(mindful, id, changed), left, terms, tableEarliestMs);
  const saying = withWanted(remembering, request, terms, tableEarliestMs);
  return { team: saying, zone: changed, zoneShare };
};
