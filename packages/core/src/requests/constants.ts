/** Outcome of a request as reported to its caller. */
export const OUTCOME = {
  /** The target's complete answer follows. */
  ANSWERED: "answered",
  /** No target has run the request; it may be sent again. */
  NOT_RUN: "notRun",
  /** A target may have run the request; only an idempotent one may be sent again. */
  UNKNOWN: "unknown",
} as const;

/** Reason why a request got no answer from a target. */
export const REFUSAL_KIND = {
  NO_KEY: "noKey",
  UNKNOWN_KEY: "unknownKey",
  KEYS_TOO_OLD: "keysTooOld",
  UNKNOWN_QUEUE: "unknownQueue",
  NO_RULES: "noRules",
  LEAVING: "leaving",
  QUEUE_FULL: "queueFull",
  DEADLINE: "deadline",
  NO_TARGET: "noTarget",
  TOO_LARGE: "tooLarge",
  BODIES_FULL: "bodiesFull",
  CLAIM_UNAVAILABLE: "claimUnavailable",
  TICKET_INVALID: "ticketInvalid",
  ISSUER_GONE: "issuerGone",
  ANSWER_NOT_KEPT: "answerNotKept",
  TARGET_UNREACHABLE: "targetUnreachable",
  TARGET_BROKE_OFF: "targetBrokeOff",
  TARGET_SILENT: "targetSilent",
} as const;

export const REQUEST_PHASE = {
  /** Waiting for the claim of its idempotency key. */
  CLAIMING: "claiming",
  QUEUED: "queued",
  RUNNING: "running",
  /** The first bytes of the answer have been sent to the caller. */
  ANSWERING: "answering",
} as const;

/** How far an attempt got before it failed. */
export const ATTEMPT_STAGE = {
  /** No byte was written, or the target answered that it did not run the request. */
  NOT_SENT: "notSent",
  /** At least one byte may have been written. */
  SENT: "sent",
  /** The answer had begun to arrive. */
  ANSWERING: "answering",
} as const;

/** Limits that apply to each request. */
export const REQUEST = {
  MAX_ATTEMPTS: 4,
  /** An attempt fails when no byte of the answer arrives for this long. */
  SILENCE_TIMEOUT_MS: 30_000,
  MAX_BODY_BYTES: 8_388_608,
  /** Bodies up to this size are buffered, so that they can be sent again in a retry. */
  REPLAY_BODY_BYTES: 262_144,
  /** Deadlines are grouped into buckets of this length and checked bucket by bucket. */
  DEADLINE_BUCKET_MS: 50,
  MIN_RETRY_AFTER_MS: 100,
  MAX_RETRY_AFTER_MS: 30_000,
  MAX_TIMEOUT_MS: 3_600_000,
} as const;
