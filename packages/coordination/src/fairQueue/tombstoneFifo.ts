import type { RequestId } from "@heatherferry/common";
import { FAIR_QUEUE } from "./constants.js";
import type { TombstoneFifo } from "./types.js";

export const createTombstoneFifo = (): TombstoneFifo => ({ items: [], head: 0 });

/** Advances the head past tombstones. */
const skipTombstones = (fifo: TombstoneFifo): void => {
  while (fifo.head < fifo.items.length && fifo.items[fifo.head] === null) {
    fifo.head += 1;
  }
};

/**
 * Returns the oldest request and advances the head to it.
 *
 * @param fifo - The FIFO.
 * @returns The oldest request, or null when none is waiting.
 */
export const peekFifo = (fifo: TombstoneFifo): RequestId | null => {
  skipTombstones(fifo);
  return fifo.items[fifo.head] ?? null;
};

/**
 * Whether to remove the entries before the head. They must make up at least half of the array, so
 * that the cost of copying the rest is amortised over the removed entries.
 *
 * @param fifo - The FIFO.
 * @returns True when the entries before the head should be removed.
 */
export const needsCompacting = (fifo: TombstoneFifo): boolean =>
  fifo.head >= FAIR_QUEUE.COMPACT_MIN_ITEMS && fifo.head * 2 >= fifo.items.length;
