import type { TeamId } from "@heatherferry/common";
import {
  availableTo,
  ESCROW,
  equalPart,
  grantOf,
  reclaimLapsed,
  regrant,
  restOf,
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

/** What an escrow write is to change for one team. */
export interface TeamNeed {
  readonly team: TeamId;
  readonly request: GrantRequest;
  /** What could run here now, the team's limit allowing. */
  readonly wanted: number;
  /** The grant is handed back whole. */
  readonly leaves: boolean;
  /** Requests wait for it now. */
  readonly starved: boolean;
  /** A term nears its end. */
  readonly renews: boolean;
  /** Change of the zone's cap, settled with the team's row; null where that row is not needed. */
  readonly capChange: number | null;
}

const placeOf = (state: State): number =>
  Math.max(0, state.membership.zonePeers.indexOf(state.node.identity.entryHostId));

/** The zone's base grants together. */
const zoneBase = (state: State, limit: number): number => {
  const { baseFraction, zones } = state.limits.terms;
  return Math.floor((limit * baseFraction) / zones);
};

const ownBase = (state: State, limit: number): number =>
  equalPart(zoneBase(state, limit), placeOf(state), Math.max(1, state.membership.zonePeers.length));

/** A base near its target stays, so that a change of members does not rewrite every row. */
const steadyBase = (own: EscrowGrant | null, target: number): number => {
  const held = own?.base ?? 0;
  return Math.abs(held - target) <= Math.max(1, target * LIMITS.BASE_TOLERANCE) && held > 0
    ? held
    : target;
};

/** What others hear of the demand need not be exact; each change of it would cost a write. */
const isNear = (published: number, wanted: number): boolean =>
  wanted >= published / 2 && wanted <= published * LIMITS.HEADROOM_FACTOR;

const requestOf = (state: State, holding: TeamHolding, own: EscrowGrant | null): GrantRequest => {
  const limit = statedLimitOf(state, holding.team);
  const leaving = state.node.leavingSinceMs !== null;
  const base = leaving ? 0 : steadyBase(own, ownBase(state, limit));
  const wanted = Math.min(limit, holding.wanted);
  const publishedWanted = own !== null && isNear(own.wanted, wanted) ? own.wanted : wanted;
  const withHeadroom = Math.ceil(wanted * (leaving ? 1 : LIMITS.HEADROOM_FACTOR));
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
  const baseIsDue = own.baseUntilMs - nowMs < baseTermMs * ESCROW.BASE_RENEWED_AT;
  const burstIsDue = own.burstUntilMs - nowMs < burstTermMs / 2;
  return (own.base > 0 && baseIsDue) || (usesBurst && burstIsDue);
};

const unusedBeyond = (state: State, zone: ZoneEscrow, limit: number): boolean =>
  restOf(zone) > Math.max(1, Math.ceil(limit * state.limits.terms.giveBackFraction));

/** Entry hosts of a zone take turns at giving back: the first in order, the next when it fails to. */
const givesBack = (state: State, holding: TeamHolding, zone: ZoneEscrow): boolean => {
  if (!unusedBeyond(state, zone, statedLimitOf(state, holding.team))) {
    holding.unusedSinceMs = null;
    return false;
  }
  holding.unusedSinceMs ??= state.nowMs;
  const unusedMs = state.nowMs - holding.unusedSinceMs;
  return unusedMs > LIMITS.GIVE_BACK_AFTER_MS * (1 + placeOf(state));
};

const stepOf = (state: State, limit: number): number =>
  Math.ceil(limit * state.limits.terms.takeStepFraction);

const losesCap = (state: State, zone: ZoneEscrow): boolean => {
  const earliestMs = tableNowMs(state) ?? 0;
  return reclaimLapsed(zone, state.limits.terms, earliestMs, holderOf(state)).cap !== zone.cap;
};

const capChangeOf = (
  state: State,
  holding: TeamHolding,
  zone: ZoneEscrow,
  request: GrantRequest,
  renews: boolean,
): number | null => {
  const limit = statedLimitOf(state, holding.team);
  const own = grantOf(zone, request.holder);
  const missing = request.target - availableTo(zone, own);
  if (missing > 0 && state.node.leavingSinceMs === null) {
    return Math.max(missing + stepOf(state, limit), zoneBase(state, limit) - zone.cap);
  }
  if (givesBack(state, holding, zone)) {
    return stepOf(state, limit) - restOf(zone);
  }
  // A grant under a higher limit, or work beyond it, gives up cap that the team's row must hear of.
  const outgrown = own !== null && (own.limit > zone.limit || own.held > 0);
  const settles = zone.limit > limit || outgrown || losesCap(state, zone);
  // A zone with more than its equal part finds out at each renewal whether others wait for it.
  const mayHoard = renews && zone.cap > limit / state.limits.terms.zones;
  return settles || mayHoard ? 0 : null;
};

const leavesNow = (state: State, holding: TeamHolding): boolean =>
  holding.running === 0 &&
  (state.node.leavingSinceMs !== null || statedLimitOf(state, holding.team) === 0);

const hasLapsedOthers = (state: State, zone: ZoneEscrow, earliestMs: number): boolean =>
  placeOf(state) === 0 &&
  reclaimLapsed(zone, state.limits.terms, earliestMs, holderOf(state)) !== zone;

const isDue = (state: State, zone: ZoneEscrow, need: TeamNeed, earliestMs: number): boolean => {
  const { request, capChange } = need;
  const own = grantOf(zone, request.holder);
  if (need.leaves) {
    return own !== null;
  }
  const grows = need.wanted > startableNow(state, need.team);
  const newBase = request.base !== (own?.base ?? 0);
  const settles = capChange !== null && capChange <= 0;
  return need.renews || grows || newBase || settles || hasLapsedOthers(state, zone, earliestMs);
};

/**
 * @param state - The state to change.
 * @param holding - What is held for a team.
 * @param earliestMs - The earliest that the table's clock may show now.
 * @returns What an escrow write has to change for the team; null for nothing.
 */
export const needOf = (state: State, holding: TeamHolding, earliestMs: number): TeamNeed | null => {
  const { team } = holding;
  const zone = zoneEscrowOf(state, team);
  const own = grantOf(zone, holderOf(state));
  const request = requestOf(state, holding, own);
  const renews = own !== null && needsRenewal(state, own, earliestMs);
  const need: TeamNeed = {
    team,
    request,
    wanted: Math.min(statedLimitOf(state, team), holding.wanted),
    leaves: leavesNow(state, holding),
    starved: holding.wanted > holding.running && holding.running >= startableNow(state, team),
    renews,
    capChange: capChangeOf(state, holding, zone, request, renews),
  };
  return isDue(state, zone, need, earliestMs) ? need : null;
};

/**
 * @param state - The state to read.
 * @param need - What is to change.
 * @param zone - The zone's part as it is.
 * @param earliestMs - The earliest that the table's clock may show now.
 * @param zoneShare - The zone's fair part of the limit.
 * @returns The zone's part with lapsed grants taken back and this node's grant made anew.
 */
export const zoneAfter = (
  state: State,
  need: TeamNeed,
  zone: ZoneEscrow,
  earliestMs: number,
  zoneShare = Number.POSITIVE_INFINITY,
): ZoneEscrow => {
  const { terms } = state.limits;
  const reclaimed = reclaimLapsed(zone, terms, earliestMs, need.request.holder);
  return need.leaves
    ? returnGrant(reclaimed, need.request.holder)
    : regrant(reclaimed, { ...need.request, zoneShare }, terms, earliestMs);
};
