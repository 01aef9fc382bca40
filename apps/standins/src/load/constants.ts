/** What the caller learned about a request. */
export const SEEN_OUTCOME = {
  ANSWERED: "answered",
  NOT_RUN: "notRun",
  UNKNOWN: "unknown",
  /** The connection broke, or the answer did, before its end: the caller cannot tell. */
  BROKEN: "broken",
} as const;

/** What is wrong with an answer that came to its end. */
export const ANSWER_FAULT = {
  /** It carries the tag of another request. */
  CROSSED: "crossed",
  /** Its body is not the one that belongs to the request. */
  NOT_WHOLE: "notWhole",
} as const;

export const LOAD = {
  TICK_MS: 20,
  BUCKET_MS: 1_000,
  DEFAULT_SEED: 1,
  /** Connections to one entry host. */
  CONNECTIONS: 256,
  /** Time that a request may take in all before the caller gives up. */
  GIVE_UP_MS: 30_000,
  HISTOGRAM_MAX_MS: 60_000,
} as const;
