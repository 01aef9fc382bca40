/** Limits on the retries of one command. */
export const COMMAND = {
  /** Consecutive failed reads of the table after which the command fails. */
  MAX_READ_FAILURES: 5,
  /** Sends of one transaction after which its outcome is reported as unknown. */
  MAX_SENDS: 8,
  /** Write conflicts after which the command fails; after each earlier one it decides again. */
  MAX_CONFLICTS: 12,
  RETRY_MIN_MS: 200,
  RETRY_MAX_MS: 2_000,
} as const;

/** Timing of the wait for a rollout. */
export const ROLL_OUT = {
  POLL_INTERVAL_MS: 500,
  DEFAULT_TIMEOUT_MS: 30_000,
  /** Heartbeat age up to which a silent entry host is listed, as it may still be serving. */
  SILENT_MAX_AGE_MS: 3_600_000,
} as const;

/** Size of the secrets and names of new keys. */
export const KEY_SECRET = {
  BYTES: 32,
  NAME_HASH_DIGITS: 8,
} as const;

/** Format of audit keys, and number of revisions listed by default. */
export const AUDIT = {
  REVISION_DIGITS: 10,
  DEFAULT_REVISION_COUNT: 20,
} as const;

/** Output streams of a command. */
export const STREAM = {
  OUT: "out",
  ERR: "err",
} as const;

/** Environment variables that commands read. */
export const ENVIRONMENT = {
  PLATFORM: "HEATHERFERRY_PLATFORM",
  USER: "USER",
} as const;
