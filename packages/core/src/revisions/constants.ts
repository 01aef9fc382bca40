export const KEYS = {
  /** Age of the rules' view up to which keys are honoured, unless the queue states its own. */
  MAX_VIEW_AGE_MS: 4_000,
} as const;
