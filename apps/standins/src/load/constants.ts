/** Outcome of a request, as far as its caller can tell. */
export const CALLER_OUTCOME = {
  ANSWERED: "answered",
  NOT_RUN: "notRun",
  UNKNOWN: "unknown",
  /** The exchange failed before its end or the answer has no outcome: the caller cannot tell. */
  BROKEN: "broken",
} as const;

/** Faults of an answer that was received to its end. */
export const ANSWER_FAULT = {
  /** The answer carries the tag of another request. */
  CROSSED: "crossed",
  /** The body differs from the one expected for the request. */
  NOT_WHOLE: "notWhole",
} as const;

export const LOAD = {
  TICK_MS: 20,
  BUCKET_MS: 1_000,
  DEFAULT_SEED: 1,
  /** Largest number of connections to one entry host. */
  CONNECTIONS: 256,
  /** Total time after which the caller aborts a request. */
  REQUEST_TIMEOUT_MS: 30_000,
  HISTOGRAM_MAX_MS: 60_000,
} as const;
