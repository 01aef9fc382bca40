export const MEMBERSHIP = {
  HEARTBEAT_INTERVAL_MS: 3_000,
  /** A member without a heartbeat for this long is no longer counted as live. */
  SESSION_TERM_MS: 10_000,
  /** How long a node that ended waits for the table to take note. */
  FAREWELL_TIMEOUT_MS: 5_000,
} as const;
