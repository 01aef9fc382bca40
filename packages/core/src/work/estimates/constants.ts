/** Bounds of what is kept in memory. */
export const SAMPLES = {
  /** Newest samples that count for a kind; older ones are forgotten. */
  MAX: 24,
  /** Most of them from one team where a kind spans teams, so that no team sets the median alone. */
  MAX_OF_TEAM: 8,
  /** A prediction may leave out the newest samples, up to one in this many. */
  PER_MODEL_CHANGE: 8,
  /** Kinds kept on a level; the one whose newest end is oldest makes room. */
  MAX_KINDS: 256,
  /** The same for kinds within a submission, of which there is one for each step under way. */
  MAX_SUBMISSION_KINDS: 1_024,
} as const;

/** When a learned run time replaces the caller's estimate. */
export const LEARNING = {
  /** Samples below which a kind tells nothing, and predictions of it that have to be scored. */
  MIN_SAMPLES: 8,
  MIN_SCORES: 4,
  /** The same for a kind within a submission, whose runs differ less. */
  MIN_SUBMISSION_SAMPLES: 2,
  MIN_SUBMISSION_SCORES: 1,
  /** Teams below which a kind that spans teams tells nothing about others. */
  MIN_TEAMS: 3,
  /** The error of the learned figure has to be below this share of that of the estimate. */
  MAX_ERROR_SHARE: 0.8,
  /** Largest error that counts, as a factor; a run that hangs says nothing about the estimate. */
  MAX_ERROR_FACTOR: 8,
  /** Variance of the logarithms of estimates below which they don't tell runs apart. */
  MIN_ESTIMATE_VARIANCE: 0.01,
  /** Quantile of the run times that decisions expect. */
  EXPECTED_QUANTILE: 0.5,
  /** Quantile that few runs exceed. */
  UPPER_QUANTILE: 0.9,
  /** Numbers of ends, each twice the one before, after which medians of a step are compared. */
  MAX_COMPARED_MEDIANS: 5,
  /** Interval after which the run times of what waits are expected anew. */
  REFRESH_MS: 2_000,
} as const;

/** Bounds of the stored row. */
export const RUN_TIMES_ROW = {
  /** Version of its form; rows of other forms are not read. */
  FORM: 1,
  /** Shortest interval between two writes. */
  WRITE_INTERVAL_MS: 10_000,
  /** Interval after a write that the store has rejected. */
  RETRY_MS: 60_000,
  /** Largest size of the row as JSON, without the few bytes around its kinds. */
  MAX_BYTES: 16_000,
  /** Most samples of a kind that it holds. */
  MAX_SAMPLES: 12,
  /** Longest key of a kind that is stored. */
  MAX_KEY_LENGTH: 160,
  /** Longest run time that a row may hold. */
  MAX_RUN_TIME_MS: 7 * 24 * 3_600_000,
} as const;
