/** Kinds of rules: the first word of a line. */
export const RULE_KIND = {
  TEAM: "team",
  KEY: "key",
  POOL: "pool",
  QUEUE: "queue",
  WAVE: "wave",
} as const;

/** Names of fields in the rules file. */
export const RULE_FIELD = {
  SHARE: "share",
  LIMIT: "limit",
  TEAM: "team",
  HASH: "hash",
  HOSTS: "hosts",
  MAX_UNAVAILABLE: "max-unavailable",
  MAX_UNAVAILABLE_PER_RACK: "max-unavailable-per-rack",
  SPARE: "spare",
  POOL: "pool",
  OPEN: "open",
  URGENT: "urgent",
  MAX_QUEUED: "max-queued",
  TIMEOUT_MS: "timeout-ms",
  MAX_VIEW_AGE_MS: "max-view-age-ms",
  ZONE: "zone",
  MAX_PARALLEL: "max-parallel",
  MAX_FAILURES: "max-failures",
  PAUSED: "paused",
} as const;

/** Kinds of errors in a rules file. */
export const RULE_PROBLEM_KIND = {
  MALFORMED: "malformed",
  NO_COMMENT: "noComment",
  UNKNOWN_KIND: "unknownKind",
  UNKNOWN_FIELD: "unknownField",
  MISSING_FIELD: "missingField",
  DUPLICATE: "duplicate",
  BAD_NAME: "badName",
  BAD_VALUE: "badValue",
  NEGATIVE_LIMIT: "negativeLimit",
  TOO_LARGE: "tooLarge",
  UNKNOWN_TEAM: "unknownTeam",
  UNKNOWN_POOL: "unknownPool",
  /** Detected when the rules are checked against the existing hosts. */
  BUDGET_LARGER_THAN_POOL: "budgetLargerThanPool",
} as const;

/** Limits of the rules file and defaults of its fields. */
export const RULES = {
  MAX_BYTES: 1_048_576,
  MAX_NAME_LENGTH: 63,
  MAX_COUNT: 1_000_000,
  MAX_DURATION_MS: 86_400_000,
  MIN_SECRET_LENGTH: 24,
  DEFAULT_MAX_QUEUED: 1_000,
  DEFAULT_TIMEOUT_MS: 10_000,
  DEFAULT_MAX_PARALLEL: 1_000,
  DEFAULT_MAX_FAILURES: 1,
} as const;
