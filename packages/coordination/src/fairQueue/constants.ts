export const FAIR_QUEUE = {
  /** A FIFO with fewer entries than this before its head is not compacted. */
  COMPACT_MIN_ITEMS: 256,
} as const;
