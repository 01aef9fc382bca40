import type { RequestId } from "@heatherferry/common";
import { FAIR_QUEUE } from "./constants.js";
import type { HoleyFifo } from "./types.js";

export const createHoleyFifo = (): HoleyFifo => ({ items: [], head: 0 });

/** Moves the head past holes. */
const skipHoles = (fifo: HoleyFifo): void => {
  while (fifo.head < fifo.items.length && fifo.items[fifo.head] === null) {
    fifo.head += 1;
  }
};

/**
 * @param fifo - The fifo to look into.
 * @returns The oldest request, or null when none waits.
 */
export const peekFifo = (fifo: HoleyFifo): RequestId | null => {
  skipHoles(fifo);
  return fifo.items[fifo.head] ?? null;
};

/**
 * Whether the passed part is worth cutting off: at least half, so that the cost of a cut is
 * spread over the requests that passed.
 *
 * @param fifo - The fifo to judge.
 * @returns True when the passed part should be cut off.
 */
export const needsCompacting = (fifo: HoleyFifo): boolean =>
  fifo.head >= FAIR_QUEUE.COMPACT_MIN_ITEMS && fifo.head * 2 >= fifo.items.length;
