/** Pacing and sizing of an entry host's escrow writes, which acquire, renew and return grants. */
export const LIMITS = {
  /** Interval between two escrow writes of one entry host, plus or minus the jitter. */
  WRITE_INTERVAL_MS: 5_000,
  WRITE_JITTER_MS: 1_000,
  /** Shorter interval while the entry host is shutting down. */
  SHUTDOWN_WRITE_INTERVAL_MS: 500,
  /** Interval between two checks of whether a write is due. */
  CHECK_INTERVAL_MS: 300,
  /** Time until a team for which no change is due is checked again. */
  RECHECK_INTERVAL_MS: 3_000,
  /** After a conflict, the next attempt waits for a random time up to this. */
  CONFLICT_BACKOFF_MS: 400,
  MAX_TEAMS_PER_WRITE: 32,
  MIN_TEAMS_PER_WRITE: 4,
  /** A grant is requested for the demand multiplied by this factor. */
  HEADROOM_FACTOR: 1.25,
  /** A base grant that differs from its target by up to this fraction is not changed. */
  BASE_TOLERANCE: 0.25,
  /** A peak of demand counts for this long after demand has fallen. */
  DEMAND_HOLD_MS: 10_000,
  /** A zone releases the part of its cap that has been unused for this long. */
  RELEASE_UNUSED_AFTER_MS: 20_000,
} as const;
