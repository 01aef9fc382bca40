import type { AvailabilityZoneId } from "@heatherferry/common";
import { ESCROW } from "./constants.js";
import { fairSplit } from "./fairSplit.js";
import { grantedSum, freeCap } from "./grants.js";
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

/** A zone's request to change its cap, which is its part of a team's limit. */
export interface CapRequest {
  readonly availabilityZone: AvailabilityZoneId;
  /** The limit as stated by the rules of the requesting node. */
  readonly stated: StatedLimit;
  /** Count to acquire, or to release where it is negative. */
  readonly change: number;
  /** Count that the zone's holders want together. */
  readonly wanted: number;
}

/** A team's and a zone's escrow after a change of the zone's cap, as they are to be written. */
export interface ZoneCapAdjustment {
  readonly team: TeamEscrow;
  readonly zone: ZoneEscrow;
  /** The zone's fair share of the limit; infinite while no other zone has unmet demand. */
  readonly zoneShare: number;
}

/**
 * @param stated - The limit as stated by the rules.
 * @returns A team's escrow before any zone has a cap.
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

/** Scales the zone's free cap down to a lower limit; holders scale their own grants. */
const shrinkToLimit = (zone: ZoneEscrow, limit: number): ZoneEscrow => {
  if (zone.limit <= limit) {
    return zone;
  }
  const scaledFreeCap = scaledCount(freeCap(zone), zone, limit);
  return {
    ...zone,
    cap: grantedSum(zone.grants) + scaledFreeCap,
    limit,
    above: Math.min(zone.above, limit),
  };
};

/**
 * Copies a zone's cap and stamp into the team's escrow.
 *
 * @param team - A team's escrow.
 * @param id - One of its zones.
 * @param zone - The zone's escrow to be written; its cap never exceeds the one in the team's row.
 * @returns The team's escrow with the same cap and stamp for the zone.
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

const limitsInUse = (team: TeamEscrow): readonly number[] => [
  ...Object.values(team.zones).map((zone) => zone.limit),
  ...team.earlier.map((earlier) => earlier.limit),
];

const currentStamp = (team: TeamEscrow): LimitStamp => ({
  limit: team.limit,
  above: Math.max(0, ...limitsInUse(team).filter((limit) => limit < team.limit)),
});

/** Adds limits to the earlier ones, and drops those that no grant can carry any more. */
const mergeEarlierLimits = (
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

/** Records stamps as earlier limits for as long as a grant may carry them. */
const recordEarlierLimits = (
  team: TeamEscrow,
  stamps: readonly LimitStamp[],
  terms: EscrowTerms,
  tableEarliestMs: number,
): TeamEscrow => {
  const retentionMs = terms.baseTermMs + 2 * (terms.runTailMs + terms.skewMs);
  const limits = stamps.map((stamp) => stamp.limit);
  return {
    ...team,
    earlier: mergeEarlierLimits(
      team.earlier,
      limits,
      tableEarliestMs + retentionMs,
      tableEarliestMs,
    ),
  };
};

/** The zone's max-min fair share of the limit; infinite while no other zone has unmet demand. */
const fairShareOf = (team: TeamEscrow, request: CapRequest, tableEarliestMs: number): number => {
  const others = Object.entries(team.zones).filter(([id]) => id !== request.availabilityZone);
  const isWaiting = (zone: ZoneCap): boolean => zone.wantedUntilMs > tableEarliestMs;
  if (!others.some(([, zone]) => isWaiting(zone))) {
    return Number.POSITIVE_INFINITY;
  }
  const otherWants = others.map(([, zone]) =>
    isWaiting(zone) ? Math.max(zone.wanted, zone.cap) : zone.cap,
  );
  return fairSplit(team.limit, [request.wanted, ...otherWants])[0] ?? 0;
};

/**
 * Releases or acquires cap. Unless it releases cap, the zone is stamped with the current limit,
 * provided that all caps fit under it and not too many earlier limits may still be in use.
 */
const changeCap = (
  team: TeamEscrow,
  zone: ZoneEscrow,
  change: number,
  zoneShare: number,
): ZoneEscrow => {
  if (change < 0) {
    return { ...zone, cap: zone.cap - Math.min(-change, freeCap(zone)) };
  }
  const unassigned = team.limit - capSum(team);
  if (unassigned < 0 || team.earlier.length >= ESCROW.MAX_EARLIER_LIMITS) {
    return zone;
  }
  const headroom = Math.max(0, zoneShare - zone.cap);
  return { ...zone, cap: zone.cap + Math.min(change, unassigned, headroom), ...currentStamp(team) };
};

/** Publishes the zone's unmet demand to other zones, and renews it only when it nears expiry. */
const withPublishedDemand = (
  team: TeamEscrow,
  request: CapRequest,
  terms: EscrowTerms,
  tableEarliestMs: number,
): TeamEscrow => {
  const zone = team.zones[request.availabilityZone];
  if (zone === undefined) {
    return team;
  }
  const isPublished = zone.wantedUntilMs - tableEarliestMs > terms.burstTermMs;
  if (zone.cap >= request.wanted || isPublished) {
    return team;
  }
  const wantedUntilMs = tableEarliestMs + 2 * terms.burstTermMs;
  const published = { ...zone, wanted: request.wanted, wantedUntilMs };
  return { ...team, zones: { ...team.zones, [request.availabilityZone]: published } };
};

/**
 * Releases the free cap that a zone has beyond its fair share.
 *
 * @param zone - A zone's escrow.
 * @param zoneShare - The zone's fair share of the limit.
 * @returns The zone's escrow without that cap.
 */
export const trimToShare = (zone: ZoneEscrow, zoneShare: number): ZoneEscrow => {
  const excess = Math.min(freeCap(zone), zone.cap - zoneShare);
  return excess > 0 ? { ...zone, cap: zone.cap - excess } : zone;
};

/**
 * Changes a zone's cap in one step over the team's and the zone's row. It adopts the limit that
 * the rules state, scales the zone's free cap down if the limit was lowered, and acquires cap
 * from the unassigned part of the limit or releases cap to it.
 *
 * @param team - The team's escrow, under the same rules or older ones.
 * @param zone - The zone's escrow.
 * @param request - The change that the zone requests.
 * @param terms - Lengths of grants and fractions of the limit.
 * @param tableEarliestMs - The earliest time that the table's clock may show now.
 * @returns Both escrows as they are to be written.
 */
export const adjustZoneCap = (
  team: TeamEscrow,
  zone: ZoneEscrow,
  request: CapRequest,
  terms: EscrowTerms,
  tableEarliestMs: number,
): ZoneCapAdjustment => {
  const id = request.availabilityZone;
  const olderStamps = [zone, ...zone.grants].filter((stamp) => stamp.limit !== zone.limit);
  const underCurrentRules = recordEarlierLimits(
    underNewerRules(team, request.stated),
    olderStamps,
    terms,
    tableEarliestMs,
  );
  const shrunk = shrinkToLimit(zone, underCurrentRules.limit);
  const settled = withZone(underCurrentRules, id, shrunk);
  const replacedByShrink = sameStamp(shrunk, zone) ? [] : [zone];
  const recorded = recordEarlierLimits(settled, replacedByShrink, terms, tableEarliestMs);
  const zoneShare = fairShareOf(recorded, request, tableEarliestMs);
  const changed = changeCap(recorded, shrunk, request.change, zoneShare);
  const replacedByChange = sameStamp(changed, shrunk) ? [] : [shrunk];
  const afterChange = recordEarlierLimits(
    withZone(recorded, id, changed),
    replacedByChange,
    terms,
    tableEarliestMs,
  );
  const withDemand = withPublishedDemand(afterChange, request, terms, tableEarliestMs);
  return { team: withDemand, zone: changed, zoneShare };
};
