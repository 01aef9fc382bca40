import type { EscrowTerms } from "./types.js";

/** Defaults of {@link EscrowTerms}, and bounds that are the same for all callers. */
export const ESCROW = {
  BASE_TERM_MS: 4_500_000,
  /** A base grant is renewed once less than this fraction of its term is left. */
  BASE_RENEWAL_FRACTION: 0.8,
  BURST_TERM_MS: 60_000,
  /** Bound on clock drift between two readings, and on the time that a reply is in transit. */
  SKEW_MS: 5_000,
  /** Work may run on for this long after the grant under which it started has expired. */
  RUN_TAIL_MS: 120_000,
  /** Number of zones among which the base is split. */
  ZONES: 4,
  /** Fraction of a team's limit that is granted as base, over all zones. */
  BASE_FRACTION: 0.25,
  /** Fraction of a team's limit that a zone acquires beyond its current need. */
  ACQUIRE_STEP_FRACTION: 0.05,
  /** A zone releases cap only when its free cap exceeds this fraction of the limit. */
  RELEASE_THRESHOLD_FRACTION: 0.1,
  /** While this many earlier limits may still be in use, a further raise of the limit waits. */
  MAX_EARLIER_LIMITS: 16,
} as const;

/** The terms that apply unless the caller sets its own. */
export const DEFAULT_ESCROW_TERMS: EscrowTerms = {
  baseTermMs: ESCROW.BASE_TERM_MS,
  burstTermMs: ESCROW.BURST_TERM_MS,
  skewMs: ESCROW.SKEW_MS,
  runTailMs: ESCROW.RUN_TAIL_MS,
  zones: ESCROW.ZONES,
  baseFraction: ESCROW.BASE_FRACTION,
  acquireStepFraction: ESCROW.ACQUIRE_STEP_FRACTION,
  releaseThresholdFraction: ESCROW.RELEASE_THRESHOLD_FRACTION,
};
