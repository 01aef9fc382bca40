export const RULE_KIND = {
  TEAM: "team",
  KEY: "key",
  POOL: "pool",
  QUEUE: "queue",
  WAVE: "wave",
} as const;

/** Bounds on the rules file. */
export const RULES = {
  MAX_BYTES: 1_048_576,
  MAX_NAME_LENGTH: 63,
  MIN_SECRET_LENGTH: 24,
  DEFAULT_MAX_QUEUED: 1_000,
  DEFAULT_TIMEOUT_MS: 10_000,
  DEFAULT_MAX_PARALLEL: 1_000,
  DEFAULT_MAX_FAILURES: 1,
} as const;
