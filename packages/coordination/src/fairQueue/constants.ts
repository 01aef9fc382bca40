export const FAIR_QUEUE = {
  /** Passed items below which the array is not cut. */
  COMPACT_MIN_ITEMS: 256,
} as const;
