/** Limits on tickets, on claims and on the work records kept for duplicate requests. */
export const TICKETS = {
  /** A ticket is valid for this long after it was issued. */
  TTL_MS: 600_000,
  MAX_PER_CALL: 256,
  /** Used tickets of which a record is kept; no ticket is issued beyond this number. */
  MAX_USED_TICKETS: 100_000,
  /** The record of ended work is kept for this long. */
  WORK_RETENTION_MS: 600_000,
  MAX_WORK_RECORDS: 10_000,
  MAX_CLAIMS_PER_WRITE: 64,
} as const;

/** State of at-most-once work in its work record. */
export const WORK_STATE = {
  /** Waiting for the claim of its idempotency key. */
  CLAIMING: "claiming",
  RUNNING: "running",
  ANSWER_KEPT: "answerKept",
  ANSWER_NOT_KEPT: "answerNotKept",
  NOT_RUN: "notRun",
  UNKNOWN: "unknown",
} as const;
