/** Limits and timeouts of connections to targets. */
export const TARGET = {
  MAX_CONNECTIONS: 64,
  CONNECT_TIMEOUT_MS: 2_000,
  KEEP_ALIVE_MS: 4_000,
} as const;
