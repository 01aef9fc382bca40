const ROUNDS = 3;

/** @returns Bytes of the heap in use, after garbage is collected. */
export const usedHeapBytes = (): number => {
  for (let round = 0; round < ROUNDS; round += 1) {
    globalThis.gc?.();
  }
  return process.memoryUsage().heapUsed;
};

/**
 * Heap that one more of something takes.
 *
 * @param count - How many to make.
 * @param make - Makes the container that holds them all.
 * @returns Bytes each.
 */
export const heapBytesEach = (count: number, make: (count: number) => unknown): number => {
  const before = usedHeapBytes();
  const held = make(count);
  const after = usedHeapBytes();
  // The container must live until the heap was measured.
  return held === null ? 0 : (after - before) / count;
};
