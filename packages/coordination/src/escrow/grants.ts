import { ESCROW } from "./constants.js";
import { fairSplit } from "./fairSplit.js";
import { restampedCount, scaledCount } from "./scale.js";
import type { EscrowGrant, EscrowTerms, GrantRequest, LimitStamp, ZoneEscrow } from "./types.js";

/**
 * @param limit - The team's limit.
 * @returns A zone's escrow before it holds anything.
 */
export const emptyZoneEscrow = (limit: number): ZoneEscrow => ({
  cap: 0,
  limit,
  above: 0,
  grants: [],
});

/**
 * @param grant - A grant.
 * @returns What it counts against the zone's cap, lapsed or not.
 */
export const countedOf = (grant: EscrowGrant): number => grant.base + grant.burst + grant.held;

/**
 * @param grants - Grants.
 * @returns What they count together.
 */
export const grantedSum = (grants: readonly EscrowGrant[]): number =>
  grants.reduce((sum, grant) => sum + countedOf(grant), 0);

/**
 * @param zone - A zone's escrow.
 * @returns The part of the cap that nobody holds.
 */
export const restOf = (zone: ZoneEscrow): number => zone.cap - grantedSum(zone.grants);

/**
 * @param zone - A zone's escrow.
 * @param holder - `<entry host>/<incarnation>`
 * @returns Its grant, or null.
 */
export const grantOf = (zone: ZoneEscrow, holder: string): EscrowGrant | null =>
  zone.grants.find((grant) => grant.holder === holder) ?? null;

/**
 * @param grant - The grant.
 * @param limit - The limit in force.
 * @param tableLatestMs - The latest that the table's clock may show now.
 * @returns How much its holder may have running when it starts one more.
 */
export const startableOf = (grant: EscrowGrant, limit: number, tableLatestMs: number): number => {
  const base = tableLatestMs < grant.baseUntilMs ? grant.base : 0;
  const burst = tableLatestMs < grant.burstUntilMs ? grant.burst : 0;
  return scaledCount(base + burst, grant, limit);
};

/**
 * How much may go on running: a lapsed grant still covers the work that runs on for the tail.
 *
 * @param grant - The grant; null where the holder has none.
 * @param terms - The terms.
 * @param tableLatestMs - The latest that the table's clock may show now.
 * @returns What the holder may still have running.
 */
export const coveredOf = (
  grant: EscrowGrant | null,
  terms: EscrowTerms,
  tableLatestMs: number,
): number => {
  if (grant === null) {
    return 0;
  }
  const started = tableLatestMs - terms.runTailMs;
  const base = started < grant.baseUntilMs ? grant.base : 0;
  const burst = started < grant.burstUntilMs ? grant.burst : 0;
  const held = started < Math.max(grant.baseUntilMs, grant.burstUntilMs) ? grant.held : 0;
  return base + burst + held;
};

const withoutLapsed = (
  grant: EscrowGrant,
  terms: EscrowTerms,
  tableEarliestMs: number,
): EscrowGrant | null => {
  const lapsedBefore = tableEarliestMs - terms.skewMs - terms.runTailMs;
  const base = grant.baseUntilMs <= lapsedBefore ? 0 : grant.base;
  const burst = grant.burstUntilMs <= lapsedBefore ? 0 : grant.burst;
  if (Math.max(grant.baseUntilMs, grant.burstUntilMs) <= lapsedBefore) {
    return null;
  }
  return base === grant.base && burst === grant.burst ? grant : { ...grant, base, burst };
};

const countsOf = (grant: EscrowGrant | null): number => (grant === null ? 0 : countedOf(grant));

/**
 * Takes back grants that lapsed so long ago that none of their work can still run.
 *
 * @param zone - A zone's escrow.
 * @param terms - The terms.
 * @param tableEarliestMs - The earliest that the table's clock may show now.
 * @param except - A holder whose own grant is left alone.
 * @returns The escrow without them; the same object where nothing lapsed.
 */
export const reclaimLapsed = (
  zone: ZoneEscrow,
  terms: EscrowTerms,
  tableEarliestMs: number,
  except: string,
): ZoneEscrow => {
  const grants: EscrowGrant[] = [];
  let lost = 0;
  let changed = false;
  for (const grant of zone.grants) {
    const kept = grant.holder === except ? grant : withoutLapsed(grant, terms, tableEarliestMs);
    const freed = countedOf(grant) - countsOf(kept);
    lost += freed - restampedCount(freed, grant, zone);
    changed ||= kept !== grant;
    if (kept !== null && (countedOf(kept) > 0 || kept.wanted > 0)) {
      grants.push(kept);
    }
  }
  return changed ? { ...zone, cap: zone.cap - lost, grants } : zone;
};

const stampUnder = (zone: ZoneEscrow, own: EscrowGrant | null): LimitStamp => {
  const above =
    own !== null && own.limit > zone.limit ? Math.max(own.above, zone.above) : zone.above;
  return { limit: zone.limit, above: Math.min(above, zone.limit) };
};

/** A holder that did not renew wants no more than it still counts for. */
const wantOf = (grant: EscrowGrant, tableEarliestMs: number): number =>
  grant.burstUntilMs > tableEarliestMs ? Math.max(grant.wanted, grant.base) : countedOf(grant);

/**
 * @param zone - A zone's escrow.
 * @param request - What one holder asks for now.
 * @param tableEarliestMs - The earliest that the table's clock may show now.
 * @returns What all holders of the zone want together.
 */
export const zoneWanted = (
  zone: ZoneEscrow,
  request: GrantRequest,
  tableEarliestMs: number,
): number =>
  zone.grants
    .filter((grant) => grant.holder !== request.holder)
    .reduce((sum, grant) => sum + wantOf(grant, tableEarliestMs), request.target);

/** The part of the cap that is this holder's when all want more than there is. */
const fairPart = (
  request: GrantRequest,
  others: readonly EscrowGrant[],
  total: number,
  tableEarliestMs: number,
): number => {
  const wants = [request.target, ...others.map((grant) => wantOf(grant, tableEarliestMs))];
  return wants.reduce((sum, want) => sum + want, 0) <= total
    ? request.target
    : (fairSplit(total, wants)[0] ?? 0);
};

const untilOf = (nowMs: number, termMs: number, count: number): number =>
  count > 0 ? nowMs + termMs : 0;

/** A base that stays as it is keeps its end until it is due for renewal. */
const baseUntil = (
  own: EscrowGrant | null,
  base: number,
  terms: EscrowTerms,
  tableEarliestMs: number,
): number => {
  const left = own === null ? 0 : own.baseUntilMs - tableEarliestMs;
  return own?.base === base && left > terms.baseTermMs * ESCROW.BASE_RENEWED_AT
    ? own.baseUntilMs
    : untilOf(tableEarliestMs, terms.baseTermMs, base);
};

/**
 * @param zone - A zone's escrow.
 * @param own - A holder's grant in it; null where it has none.
 * @returns What the holder could have, were all of the zone's rest its own.
 */
export const availableTo = (zone: ZoneEscrow, own: EscrowGrant | null): number =>
  restOf(zone) + (own === null ? 0 : restampedCount(own.base + own.burst, own, zone));

/**
 * Gives a holder its grant anew: grown, shrunk or renewed. It never gets less than it runs as
 * long as the zone's cap allows that, and running work beyond its grant stays counted.
 *
 * @param zone - A zone's escrow.
 * @param request - What the holder asks for.
 * @param terms - The terms.
 * @param tableEarliestMs - The earliest that the table's clock may show now.
 * @returns The escrow with the new grant.
 */
export const regrant = (
  zone: ZoneEscrow,
  request: GrantRequest,
  terms: EscrowTerms,
  tableEarliestMs: number,
): ZoneEscrow => {
  const own = grantOf(zone, request.holder);
  const others = zone.grants.filter((grant) => grant.holder !== request.holder);
  const available = availableTo(zone, own);
  const total = Math.min(request.zoneShare, available + grantedSum(others));
  const fair = fairPart(request, others, total, tableEarliestMs);
  const count = Math.min(available, Math.max(fair, request.running));
  const mostHeld =
    own === null ? 0 : countedOf(own) - restampedCount(own.base + own.burst, own, zone);
  const held = Math.max(0, Math.min(request.running - count, mostHeld));
  const base = Math.min(request.base, count);
  const made: EscrowGrant = {
    ...stampUnder(zone, own),
    holder: request.holder,
    base,
    burst: count - base,
    held,
    wanted: request.wanted,
    baseUntilMs: baseUntil(own, base, terms, tableEarliestMs),
    burstUntilMs: untilOf(tableEarliestMs, terms.burstTermMs, count - base + held + request.wanted),
  };
  const grants = countedOf(made) > 0 || made.wanted > 0 ? [...others, made] : others;
  return { ...zone, cap: grantedSum(others) + available + held, grants };
};

/**
 * Hands a holder's grant back: nothing of its work runs any more.
 *
 * @param zone - A zone's escrow.
 * @param holder - The holder.
 * @returns The escrow without its grant.
 */
export const returnGrant = (zone: ZoneEscrow, holder: string): ZoneEscrow => {
  const own = grantOf(zone, holder);
  if (own === null) {
    return zone;
  }
  const lost = countedOf(own) - restampedCount(countedOf(own), own, zone);
  const grants = zone.grants.filter((grant) => grant.holder !== holder);
  return { ...zone, cap: zone.cap - lost, grants };
};
