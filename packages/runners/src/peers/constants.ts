/** Limits and timeouts of calls between entry hosts. */
export const PEER_CALL = {
  CONNECT_TIMEOUT_MS: 500,
  SEND_TIMEOUT_MS: 1_000,
  READ_VIEW_TIMEOUT_MS: 1_000,
  /** Messages to one peer that may be in flight at once. */
  MAX_SENDS_IN_FLIGHT: 16,
  /** Calls of one connection that a server handles at once. */
  MAX_OPEN_CALLS: 1_024,
  PING_INTERVAL_MS: 5_000,
  PING_TIMEOUT_MS: 1_000,
  IDLE_CONNECTION_TIMEOUT_MS: 60_000,
  /** Largest message: a request or an answer with its headers, or a view of the zone. */
  MAX_MESSAGE_BYTES: 9_437_184,
} as const;
