export const FAIR_QUEUE = {
  /** A FIFO is not compacted while it has fewer entries than this before its head. */
  COMPACT_MIN_ITEMS: 256,
} as const;
