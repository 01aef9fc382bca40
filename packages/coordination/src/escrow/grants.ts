import { ESCROW } from "./constants.js";
import { fairSplit } from "./fairSplit.js";
import { restampedCount, scaledCount } from "./scale.js";
import type { EscrowGrant, EscrowTerms, GrantRequest, LimitStamp, ZoneEscrow } from "./types.js";

/**
 * @param limit - The team's limit.
 * @returns A zone's escrow before it has a cap or grants.
 */
export const emptyZoneEscrow = (limit: number): ZoneEscrow => ({
  cap: 0,
  limit,
  above: 0,
  grants: [],
});

/**
 * @param grant - A grant.
 * @returns The count that it is charged against the zone's cap, expired or not.
 */
export const grantedCount = (grant: EscrowGrant): number => grant.base + grant.burst + grant.held;

/**
 * @param grants - Grants.
 * @returns The count that they are charged together.
 */
export const grantedSum = (grants: readonly EscrowGrant[]): number =>
  grants.reduce((sum, grant) => sum + grantedCount(grant), 0);

/**
 * @param zone - A zone's escrow.
 * @returns The part of the cap that no grant is charged for.
 */
export const freeCap = (zone: ZoneEscrow): number => zone.cap - grantedSum(zone.grants);

/**
 * @param zone - A zone's escrow.
 * @param holder - `<entry host>/<incarnation>`
 * @returns The holder's grant, or null.
 */
export const findGrant = (zone: ZoneEscrow, holder: string): EscrowGrant | null =>
  zone.grants.find((grant) => grant.holder === holder) ?? null;

/**
 * @param grant - The grant.
 * @param limit - The limit in force.
 * @param tableLatestMs - The latest time that the table's clock may show now.
 * @returns The count up to which its holder may start work.
 */
export const startableCount = (
  grant: EscrowGrant,
  limit: number,
  tableLatestMs: number,
): number => {
  const base = tableLatestMs < grant.baseUntilMs ? grant.base : 0;
  const burst = tableLatestMs < grant.burstUntilMs ? grant.burst : 0;
  return scaledCount(base + burst, grant, limit);
};

/**
 * Returns how much may continue to run. An expired grant covers running work for
 * {@link EscrowTerms.runTailMs} more.
 *
 * @param grant - The grant; null where the holder has none.
 * @param terms - Lengths of grants.
 * @param tableLatestMs - The latest time that the table's clock may show now.
 * @returns The count that the holder may still have running.
 */
export const coveredCount = (
  grant: EscrowGrant | null,
  terms: EscrowTerms,
  tableLatestMs: number,
): number => {
  if (grant === null) {
    return 0;
  }
  const validAtMs = tableLatestMs - terms.runTailMs;
  const base = validAtMs < grant.baseUntilMs ? grant.base : 0;
  const burst = validAtMs < grant.burstUntilMs ? grant.burst : 0;
  const held = validAtMs < Math.max(grant.baseUntilMs, grant.burstUntilMs) ? grant.held : 0;
  return base + burst + held;
};

const withoutExpired = (
  grant: EscrowGrant,
  terms: EscrowTerms,
  tableEarliestMs: number,
): EscrowGrant | null => {
  const expiredBeforeMs = tableEarliestMs - terms.skewMs - terms.runTailMs;
  const base = grant.baseUntilMs <= expiredBeforeMs ? 0 : grant.base;
  const burst = grant.burstUntilMs <= expiredBeforeMs ? 0 : grant.burst;
  if (Math.max(grant.baseUntilMs, grant.burstUntilMs) <= expiredBeforeMs) {
    return null;
  }
  return base === grant.base && burst === grant.burst ? grant : { ...grant, base, burst };
};

const countOrZero = (grant: EscrowGrant | null): number =>
  grant === null ? 0 : grantedCount(grant);

/**
 * Reclaims grants that expired so long ago that none of their work can still be running.
 *
 * @param zone - A zone's escrow.
 * @param terms - Lengths of grants.
 * @param tableEarliestMs - The earliest time that the table's clock may show now.
 * @param except - A holder whose grant is not reclaimed.
 * @returns The escrow without them; the same object where there is nothing to reclaim.
 */
export const reclaimExpired = (
  zone: ZoneEscrow,
  terms: EscrowTerms,
  tableEarliestMs: number,
  except: string,
): ZoneEscrow => {
  const grants: EscrowGrant[] = [];
  let lostCap = 0;
  let changed = false;
  for (const grant of zone.grants) {
    const kept = grant.holder === except ? grant : withoutExpired(grant, terms, tableEarliestMs);
    const freed = grantedCount(grant) - countOrZero(kept);
    lostCap += freed - restampedCount(freed, grant, zone);
    changed ||= kept !== grant;
    if (kept !== null && (grantedCount(kept) > 0 || kept.wanted > 0)) {
      grants.push(kept);
    }
  }
  return changed ? { ...zone, cap: zone.cap - lostCap, grants } : zone;
};

/** The zone's stamp, with the higher `above` of both where the grant has a higher limit. */
const stampFor = (zone: ZoneEscrow, own: EscrowGrant | null): LimitStamp => {
  const above =
    own !== null && own.limit > zone.limit ? Math.max(own.above, zone.above) : zone.above;
  return { limit: zone.limit, above: Math.min(above, zone.limit) };
};

/** A holder that has not renewed its grant wants no more than it is still charged for. */
const demandOf = (grant: EscrowGrant, tableEarliestMs: number): number =>
  grant.burstUntilMs > tableEarliestMs ? Math.max(grant.wanted, grant.base) : grantedCount(grant);

/**
 * @param zone - A zone's escrow.
 * @param request - One holder's current request, which replaces what its grant says.
 * @param tableEarliestMs - The earliest time that the table's clock may show now.
 * @returns The count that all holders of the zone want together.
 */
export const zoneWanted = (
  zone: ZoneEscrow,
  request: GrantRequest,
  tableEarliestMs: number,
): number =>
  zone.grants
    .filter((grant) => grant.holder !== request.holder)
    .reduce((sum, grant) => sum + demandOf(grant, tableEarliestMs), request.target);

/** The count asked for, or the holder's max-min fair share when all want more than the total. */
const fairShareOf = (
  request: GrantRequest,
  others: readonly EscrowGrant[],
  total: number,
  tableEarliestMs: number,
): number => {
  const wants = [request.target, ...others.map((grant) => demandOf(grant, tableEarliestMs))];
  return wants.reduce((sum, want) => sum + want, 0) <= total
    ? request.target
    : (fairSplit(total, wants)[0] ?? 0);
};

const expiryMs = (nowMs: number, termMs: number, count: number): number =>
  count > 0 ? nowMs + termMs : 0;

/** An unchanged base keeps its expiry time until it is due for renewal. */
const baseExpiryMs = (
  own: EscrowGrant | null,
  base: number,
  terms: EscrowTerms,
  tableEarliestMs: number,
): number => {
  const left = own === null ? 0 : own.baseUntilMs - tableEarliestMs;
  return own?.base === base && left > terms.baseTermMs * ESCROW.BASE_RENEWAL_FRACTION
    ? own.baseUntilMs
    : expiryMs(tableEarliestMs, terms.baseTermMs, base);
};

/**
 * @param zone - A zone's escrow.
 * @param own - A holder's grant in the zone; null where it has none.
 * @returns The count that the holder could be granted if it got all of the zone's free cap.
 */
export const availableCount = (zone: ZoneEscrow, own: EscrowGrant | null): number =>
  freeCap(zone) + (own === null ? 0 : restampedCount(own.base + own.burst, own, zone));

/**
 * Grows, shrinks or renews a holder's grant. The grant covers what the holder runs as far as the
 * zone's cap allows, and running work beyond the grant stays charged as `held`.
 *
 * @param zone - A zone's escrow.
 * @param request - The holder's request.
 * @param terms - Lengths of grants.
 * @param tableEarliestMs - The earliest time that the table's clock may show now.
 * @returns The escrow with the new grant.
 */
export const updateGrant = (
  zone: ZoneEscrow,
  request: GrantRequest,
  terms: EscrowTerms,
  tableEarliestMs: number,
): ZoneEscrow => {
  const own = findGrant(zone, request.holder);
  const others = zone.grants.filter((grant) => grant.holder !== request.holder);
  const available = availableCount(zone, own);
  const total = Math.min(request.zoneShare, available + grantedSum(others));
  const fair = fairShareOf(request, others, total, tableEarliestMs);
  const count = Math.min(available, Math.max(fair, request.running));
  const maxHeld =
    own === null ? 0 : grantedCount(own) - restampedCount(own.base + own.burst, own, zone);
  const held = Math.max(0, Math.min(request.running - count, maxHeld));
  const base = Math.min(request.base, count);
  const updated: EscrowGrant = {
    ...stampFor(zone, own),
    holder: request.holder,
    base,
    burst: count - base,
    held,
    wanted: request.wanted,
    baseUntilMs: baseExpiryMs(own, base, terms, tableEarliestMs),
    burstUntilMs: expiryMs(
      tableEarliestMs,
      terms.burstTermMs,
      count - base + held + request.wanted,
    ),
  };
  const grants = grantedCount(updated) > 0 || updated.wanted > 0 ? [...others, updated] : others;
  return { ...zone, cap: grantedSum(others) + available + held, grants };
};

/**
 * Returns a holder's grant to the zone. None of the holder's work may be running any more.
 *
 * @param zone - A zone's escrow.
 * @param holder - `<entry host>/<incarnation>`
 * @returns The escrow without the grant.
 */
export const returnGrant = (zone: ZoneEscrow, holder: string): ZoneEscrow => {
  const own = findGrant(zone, holder);
  if (own === null) {
    return zone;
  }
  const lostCap = grantedCount(own) - restampedCount(grantedCount(own), own, zone);
  const grants = zone.grants.filter((grant) => grant.holder !== holder);
  return { ...zone, cap: zone.cap - lostCap, grants };
};
