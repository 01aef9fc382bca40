export const MEMBERSHIP = {
  HEARTBEAT_INTERVAL_MS: 3_000,
  /** A member without a heartbeat for this long is no longer counted as live. */
  SESSION_TERM_MS: 10_000,
} as const;
