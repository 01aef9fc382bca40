import type { EscrowTerms } from "./types.js";

/** Terms and pace of escrow, unless the caller states its own. */
export const ESCROW = {
  BASE_TERM_MS: 4_500_000,
  /** A base grant is renewed once less than this part of its term is left. */
  BASE_RENEWED_AT: 0.8,
  BURST_TERM_MS: 60_000,
  /** Bound on the drift of clocks between two readings, and on a reply under way. */
  SKEW_MS: 5_000,
  /** Work may go on for this long beyond the end of the grant under which it started. */
  RUN_TAIL_MS: 120_000,
  /** Zones among which the base is split. */
  ZONES: 4,
  /** Part of a team's limit that is granted as base, over all zones. */
  BASE_FRACTION: 0.25,
  /** Part of a team's limit that a zone takes beyond its present need. */
  TAKE_STEP_FRACTION: 0.05,
  /** A zone gives back only when its unused part is above this part of the limit. */
  GIVE_BACK_FRACTION: 0.1,
  /** Earlier limits that may still be in use; a further raise waits while there are so many. */
  MAX_EARLIER_LIMITS: 16,
} as const;

/** The usual terms. */
export const DEFAULT_ESCROW_TERMS: EscrowTerms = {
  baseTermMs: ESCROW.BASE_TERM_MS,
  burstTermMs: ESCROW.BURST_TERM_MS,
  skewMs: ESCROW.SKEW_MS,
  runTailMs: ESCROW.RUN_TAIL_MS,
  zones: ESCROW.ZONES,
  baseFraction: ESCROW.BASE_FRACTION,
  takeStepFraction: ESCROW.TAKE_STEP_FRACTION,
  giveBackFraction: ESCROW.GIVE_BACK_FRACTION,
};
