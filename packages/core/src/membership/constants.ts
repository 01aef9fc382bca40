/** Timing of heartbeats and membership sessions. */
export const MEMBERSHIP = {
  HEARTBEAT_INTERVAL_MS: 3_000,
  /** A member whose last heartbeat is older than this is no longer live. */
  SESSION_TERM_MS: 10_000,
  /** How long a node without remaining work waits for the table to confirm its departure. */
  SHUTDOWN_TIMEOUT_MS: 5_000,
} as const;
