import { OWNERSHIP } from "../constants.js";
import type { OwnedWork, RenewalAge } from "../state.js";
import type { OwnerRow } from "../store/rowTypes.js";
import type { Turn } from "../turn.js";

/**
 * @packageDocumentation
 * How long an owner acts on a confirmed commit. A short term lets another node take over soon after
 * the owner is lost; it must be long enough for the next commit to be confirmed, so it follows the
 * time that this took lately. The owner row publishes it.
 */

/** Returns the term that an owner row grants its owner; rows of earlier versions have none. */
export const termMsOf = ({ termMs }: OwnerRow): number =>
  Math.max(OWNERSHIP.MIN_CONFIRMED_MS, termMs ?? OWNERSHIP.CONFIRMED_MS);

/** Returns how long a row must be unchanged before another node may claim ownership. */
export const takeoverMs = (row: OwnerRow): number => termMsOf(row) + OWNERSHIP.TAKEOVER_MARGIN_MS;

/** Returns the longest recent age of a confirmation, which fades with time. */
const fadedAgeMs = ({ longestMs, atMs }: RenewalAge, nowMs: number): number =>
  longestMs * Math.exp((atMs - nowMs) / OWNERSHIP.RENEWAL_AGE_FADE_MS);

/** Records how old the last confirmation was when the next one arrived. */
export const recordRenewal = ({ nowMs }: Turn, { renewalAge, confirmedAtMs }: OwnedWork): void => {
  const ageMs = Math.min(OWNERSHIP.CONFIRMED_MS, nowMs - confirmedAtMs);
  renewalAge.longestMs = Math.max(ageMs, fadedAgeMs(renewalAge, nowMs));
  renewalAge.atMs = nowMs;
};

/** Returns the term for the next owner row. */
export const nextTermMs = ({ nowMs }: Turn, { renewalAge }: OwnedWork): number => {
  const termMs = fadedAgeMs(renewalAge, nowMs) * OWNERSHIP.TERM_PER_RENEWAL_AGE;
  return Math.round(Math.min(OWNERSHIP.CONFIRMED_MS, Math.max(OWNERSHIP.MIN_CONFIRMED_MS, termMs)));
};

/**
 * Returns the term within which the owner acts now. While a commit is in flight, other nodes may
 * already see its row, so the shorter one of both terms counts.
 */
export const presentTermMs = ({ termMs, commitInFlight }: OwnedWork): number =>
  Math.min(termMs, commitInFlight?.termMs ?? Infinity);
