/** Pace of the traffic between the entry hosts of a zone. */
export const PEERS = {
  /** Between digests while requests run or wait here. */
  BUSY_DIGEST_INTERVAL_MS: 1_000,
  /** Between digests while nothing changes. */
  IDLE_DIGEST_INTERVAL_MS: 2_000,
  /** Age of the own view from which a peer is asked for a fresher one. */
  ASK_VIEW_AGE_MS: 1_500,
  /** A peer's view must be fresher by this much to be worth a read. */
  MIN_VIEW_GAIN_MS: 400,
  /** Peers whose views differ by less than this are asked by turn. */
  VIEW_TIE_MS: 500,
  VIEW_READ_INTERVAL_MS: 500,
  /** A peer that could not be reached is left out for this long. */
  AVOID_MS: 2_000,
  /** A peer that is neither named nor heard for this long is forgotten. */
  FORGET_MS: 60_000,
} as const;
