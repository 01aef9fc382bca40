export const ROUTING = {
  EJECT_AFTER_FAILURES: 3,
  EJECTION_MS: 5_000,
  /** A target is not suspected of silence sooner, however fast it usually is. */
  MIN_SUSPECT_SILENCE_MS: 250,
  /** Nor before this multiple of its usual time. */
  SUSPECT_SILENCE_FACTOR: 8,
  MAX_EJECTED_FRACTION: 0.5,
  /** Assumed until answers were seen. */
  INITIAL_SERVICE_MS: 50,
  /** Weight of the newest answer in the mean. */
  SERVICE_SMOOTHING: 0.1,
} as const;

/** Retries are paid from tokens that first attempts bring in. */
export const RETRY_BUDGET = {
  TOKENS_PER_REQUEST: 0.1,
  INITIAL_TOKENS: 20,
  MAX_TOKENS: 100,
} as const;
