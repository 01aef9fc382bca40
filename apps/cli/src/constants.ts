/** Bounds on what one command does before it gives up. */
export const COMMAND = {
  /** Reads of the table that may fail before the command ends. */
  MAX_READ_FAILURES: 5,
  /** Times a transaction is sent before its outcome is reported as unknown. */
  MAX_SENDS: 8,
  /** Times a command decides anew after another writer was first. */
  MAX_CONFLICTS: 12,
  RETRY_MIN_MS: 200,
  RETRY_MAX_MS: 2_000,
} as const;

/** Pace of `apply --wait`. */
export const ROLL_OUT = {
  POLL_INTERVAL_MS: 500,
  DEFAULT_TIMEOUT_MS: 30_000,
  /** A silent entry host is named for as long as it may still serve on its own. */
  SILENT_SHOWN_FOR_MS: 3_600_000,
} as const;

export const KEY_SECRET = {
  BYTES: 32,
  NAME_HASH_DIGITS: 8,
} as const;

export const AUDIT = {
  REVISION_DIGITS: 10,
  DEFAULT_SHOWN: 20,
} as const;

/** Where a command writes. */
export const STREAM = {
  OUT: "out",
  ERR: "err",
} as const;

/** Environment variables that the command reads. */
export const ENVIRONMENT = {
  PLATFORM: "HEATHERFERRY_PLATFORM",
  USER: "USER",
} as const;
