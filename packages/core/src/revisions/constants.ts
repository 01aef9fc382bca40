export const KEYS = {
  /** Maximum age of a node's view of the rules at which it honours keys; queues may override it. */
  MAX_VIEW_AGE_MS: 4_000,
} as const;
