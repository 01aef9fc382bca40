/** Bounds on tickets and on what is remembered for repeats. */
export const TICKETS = {
  VALID_MS: 600_000,
  MAX_PER_CALL: 256,
  /** Used tickets that are remembered; beyond it none is issued. */
  MAX_USED: 100_000,
  /** Ended work is remembered for this long. */
  KEEP_MS: 600_000,
  MAX_KEPT_WORKS: 10_000,
  MAX_CLAIMS_PER_WRITE: 64,
} as const;

/** How work that is remembered stands. */
export const WORK_STATE = {
  CLAIMING: "claiming",
  RUNNING: "running",
  ANSWER_KEPT: "answerKept",
  ANSWER_NOT_KEPT: "answerNotKept",
  NOT_RUN: "notRun",
  UNKNOWN: "unknown",
} as const;
