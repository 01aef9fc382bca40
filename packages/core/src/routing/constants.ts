/** Ejection of failing targets and detection of unresponsive ones. */
export const ROUTING = {
  EJECT_AFTER_FAILURES: 3,
  EJECTION_MS: 5_000,
  /** Minimum silence before a target is suspected to be unresponsive, however fast it is. */
  MIN_SUSPECT_SILENCE_MS: 250,
  /** Minimum silence as a multiple of the target's mean service time. */
  SUSPECT_SILENCE_FACTOR: 8,
  MAX_EJECTED_FRACTION: 0.5,
  /** Mean service time assumed for a target that has not answered yet. */
  INITIAL_SERVICE_MS: 50,
  /** Weight of the newest answer in the moving average of service times. */
  SERVICE_SMOOTHING: 0.1,
} as const;

/** Token bucket that limits retries to a fraction of the first attempts. */
export const RETRY_BUDGET = {
  TOKENS_PER_REQUEST: 0.1,
  INITIAL_TOKENS: 20,
  MAX_TOKENS: 100,
} as const;
