import type { TeamId } from "@heatherferry/common";
import {
  availableCount,
  ESCROW,
  equalShare,
  findGrant,
  reclaimExpired,
  updateGrant,
  freeCap,
  returnGrant,
  type EscrowGrant,
  type GrantRequest,
  type ZoneEscrow,
} from "@heatherferry/coordination";
import { tableNowMs } from "../platform/mirror.js";
import type { State } from "../state.js";
import { LIMITS } from "./constants.js";
import { holderOf, startableNow, statedLimitOf } from "./holdings.js";
import { zoneEscrowOf } from "./rows.js";
import type { TeamHolding } from "./types.js";

/** What the next escrow write has to change for one team. */
export interface TeamNeed {
  readonly team: TeamId;
  readonly request: GrantRequest;
  /** Demand on this entry host, at most the team's limit. */
  readonly wanted: number;
  /** Whether the whole grant is returned. */
  readonly returnsGrant: boolean;
  /** Whether requests wait because the grant is used up. */
  readonly starved: boolean;
  /** Whether the grant has to be renewed before it expires. */
  readonly renews: boolean;
  /** Change of the zone's cap, made in the team's row; null where that row is not needed. */
  readonly capChange: number | null;
}

const positionInZone = (state: State): number =>
  Math.max(0, state.membership.zonePeers.indexOf(state.node.identity.entryHostId));

/** Sum of the zone's base grants. */
const zoneBase = (state: State, limit: number): number => {
  const { baseFraction, zones } = state.limits.terms;
  return Math.floor((limit * baseFraction) / zones);
};

const ownBase = (state: State, limit: number): number =>
  equalShare(
    zoneBase(state, limit),
    positionInZone(state),
    Math.max(1, state.membership.zonePeers.length),
  );

/** Keeps a base close to its target, so that a membership change does not rewrite every row. */
const steadyBase = (own: EscrowGrant | null, target: number): number => {
  const held = own?.base ?? 0;
  return Math.abs(held - target) <= Math.max(1, target * LIMITS.BASE_TOLERANCE) && held > 0
    ? held
    : target;
};

/** The published demand may be inexact, since each change of it costs a write. */
const isNear = (published: number, wanted: number): boolean =>
  wanted >= published / 2 && wanted <= published * LIMITS.HEADROOM_FACTOR;

const requestOf = (state: State, holding: TeamHolding, own: EscrowGrant | null): GrantRequest => {
  const limit = statedLimitOf(state, holding.team);
  const isShuttingDown = state.node.shutdownStartedAtMs !== null;
  const base = isShuttingDown ? 0 : steadyBase(own, ownBase(state, limit));
  const wanted = Math.min(limit, holding.wanted);
  const publishedWanted = own !== null && isNear(own.wanted, wanted) ? own.wanted : wanted;
  const withHeadroom = Math.ceil(wanted * (isShuttingDown ? 1 : LIMITS.HEADROOM_FACTOR));
  return {
    holder: holderOf(state),
    target: Math.max(base, Math.min(limit, withHeadroom)),
    base,
    wanted: publishedWanted,
    running: holding.running,
    zoneShare: Number.POSITIVE_INFINITY,
  };
};

const needsRenewal = (state: State, own: EscrowGrant, nowMs: number): boolean => {
  const { baseTermMs, burstTermMs } = state.limits.terms;
  const usesBurst = own.burst + own.held > 0 || own.wanted > own.base;
  const baseIsDue = own.baseUntilMs - nowMs < baseTermMs * ESCROW.BASE_RENEWAL_FRACTION;
  const burstIsDue = own.burstUntilMs - nowMs < burstTermMs / 2;
  return (own.base > 0 && baseIsDue) || (usesBurst && burstIsDue);
};

const hasExcessUnused = (state: State, zone: ZoneEscrow, limit: number): boolean =>
  freeCap(zone) > Math.max(1, Math.ceil(limit * state.limits.terms.releaseThresholdFraction));

/** Staggers the release by position: a later entry host acts only if those before it have not. */
const releasesUnused = (state: State, holding: TeamHolding, zone: ZoneEscrow): boolean => {
  if (!hasExcessUnused(state, zone, statedLimitOf(state, holding.team))) {
    holding.unusedSinceMs = null;
    return false;
  }
  holding.unusedSinceMs ??= state.nowMs;
  const unusedMs = state.nowMs - holding.unusedSinceMs;
  return unusedMs > LIMITS.RELEASE_UNUSED_AFTER_MS * (1 + positionInZone(state));
};

const acquireStep = (state: State, limit: number): number =>
  Math.ceil(limit * state.limits.terms.acquireStepFraction);

const losesCap = (state: State, zone: ZoneEscrow): boolean => {
  const earliestMs = tableNowMs(state) ?? 0;
  return reclaimExpired(zone, state.limits.terms, earliestMs, holderOf(state)).cap !== zone.cap;
};

const capChangeOf = (
  state: State,
  holding: TeamHolding,
  zone: ZoneEscrow,
  request: GrantRequest,
  renews: boolean,
): number | null => {
  const limit = statedLimitOf(state, holding.team);
  const own = findGrant(zone, request.holder);
  const missing = request.target - availableCount(zone, own);
  if (missing > 0 && state.node.shutdownStartedAtMs === null) {
    return Math.max(missing + acquireStep(state, limit), zoneBase(state, limit) - zone.cap);
  }
  if (releasesUnused(state, holding, zone)) {
    return acquireStep(state, limit) - freeCap(zone);
  }
  // A grant under a higher limit, or running work beyond the grant, reduces the zone's cap, which
  // the team's row has to record.
  const outgrown = own !== null && (own.limit > zone.limit || own.held > 0);
  const reducesCap = zone.limit > limit || outgrown || losesCap(state, zone);
  // At each renewal, a zone with more than its equal share checks other zones for unmet demand.
  const checksUnmetDemand = renews && zone.cap > limit / state.limits.terms.zones;
  return reducesCap || checksUnmetDemand ? 0 : null;
};

const mustReturnGrant = (state: State, holding: TeamHolding): boolean =>
  holding.running === 0 &&
  (state.node.shutdownStartedAtMs !== null || statedLimitOf(state, holding.team) === 0);

const hasExpiredGrantsOfOthers = (state: State, zone: ZoneEscrow, earliestMs: number): boolean =>
  positionInZone(state) === 0 &&
  reclaimExpired(zone, state.limits.terms, earliestMs, holderOf(state)) !== zone;

const isDue = (state: State, zone: ZoneEscrow, need: TeamNeed, earliestMs: number): boolean => {
  const { request, capChange } = need;
  const own = findGrant(zone, request.holder);
  if (need.returnsGrant) {
    return own !== null;
  }
  const grows = need.wanted > startableNow(state, need.team);
  const newBase = request.base !== (own?.base ?? 0);
  const adjustsCap = capChange !== null && capChange <= 0;
  return (
    need.renews ||
    grows ||
    newBase ||
    adjustsCap ||
    hasExpiredGrantsOfOthers(state, zone, earliestMs)
  );
};

/**
 * Determines what an escrow write has to change for a team.
 *
 * @param state - The state to change.
 * @param holding - What this entry host holds for the team.
 * @param earliestMs - The earliest time that the table's clock may show now.
 * @returns The change; null if none is due.
 */
export const needOf = (state: State, holding: TeamHolding, earliestMs: number): TeamNeed | null => {
  const { team } = holding;
  const zone = zoneEscrowOf(state, team);
  const own = findGrant(zone, holderOf(state));
  const request = requestOf(state, holding, own);
  const renews = own !== null && needsRenewal(state, own, earliestMs);
  const need: TeamNeed = {
    team,
    request,
    wanted: Math.min(statedLimitOf(state, team), holding.wanted),
    returnsGrant: mustReturnGrant(state, holding),
    starved: holding.wanted > holding.running && holding.running >= startableNow(state, team),
    renews,
    capChange: capChangeOf(state, holding, zone, request, renews),
  };
  return isDue(state, zone, need, earliestMs) ? need : null;
};

/**
 * Reclaims expired grants of a zone, then renews, changes or returns this node's grant.
 *
 * @param state - The state to read.
 * @param need - What has to change.
 * @param zone - The zone's escrow before the change.
 * @param earliestMs - The earliest time that the table's clock may show now.
 * @param zoneShare - The zone's fair share of the limit; infinite without unmet demand elsewhere.
 * @returns The zone's escrow after the change.
 */
export const applyNeedToZone = (
  state: State,
  need: TeamNeed,
  zone: ZoneEscrow,
  earliestMs: number,
  zoneShare = Number.POSITIVE_INFINITY,
): ZoneEscrow => {
  const { terms } = state.limits;
  const reclaimed = reclaimExpired(zone, terms, earliestMs, need.request.holder);
  return need.returnsGrant
    ? returnGrant(reclaimed, need.request.holder)
    : updateGrant(reclaimed, { ...need.request, zoneShare }, terms, earliestMs);
};
