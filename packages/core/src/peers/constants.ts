/** Intervals and time limits of the traffic between the entry hosts of a zone. */
export const PEERS = {
  /** Interval between digests while they report usage or queued requests. */
  BUSY_DIGEST_INTERVAL_MS: 1_000,
  /** Interval between digests while they report neither. */
  IDLE_DIGEST_INTERVAL_MS: 2_000,
  /** Age of this node's view from which it asks a peer for a fresher one. */
  STALE_VIEW_AGE_MS: 1_500,
  /** A peer's view is read only if it is fresher by at least this much. */
  MIN_VIEW_GAIN_MS: 400,
  /** Peers whose views are this close in age to the freshest are asked in rotation. */
  VIEW_AGE_TOLERANCE_MS: 500,
  VIEW_READ_INTERVAL_MS: 500,
  /** An unreachable peer is not asked for its view for this long. */
  UNREACHABLE_BACKOFF_MS: 2_000,
  /** A peer in neither the table nor the settings is removed after this long without a digest. */
  SILENT_PEER_TTL_MS: 60_000,
} as const;
