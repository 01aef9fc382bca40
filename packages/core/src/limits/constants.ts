/** Pace of an entry host's escrow writes. */
export const LIMITS = {
  /** Between two escrow writes of one entry host, give or take the jitter. */
  WRITE_INTERVAL_MS: 5_000,
  WRITE_JITTER_MS: 1_000,
  /** The same while it is leaving. */
  LEAVING_INTERVAL_MS: 500,
  /** Between two looks at whether a write is due. */
  CHECK_INTERVAL_MS: 300,
  /** A team for which nothing is due is looked at again after this time. */
  LOOK_AGAIN_MS: 3_000,
  /** After a conflict the next try waits for a random time up to this. */
  CONFLICT_BACKOFF_MS: 400,
  MAX_TEAMS_PER_WRITE: 32,
  MIN_TEAMS_PER_WRITE: 4,
  /** A grant is asked for with this much more than is wanted. */
  HEADROOM_FACTOR: 1.25,
  /** A base grant this near to its target, as a part of it, is left as it is. */
  BASE_TOLERANCE: 0.25,
  /** Demand counts at its peak for this long. */
  DEMAND_HOLD_MS: 10_000,
  /** A zone gives back what it has not used for this long. */
  GIVE_BACK_AFTER_MS: 20_000,
} as const;
