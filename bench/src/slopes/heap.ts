const ROUNDS = 3;

/** @returns Bytes of the heap in use after garbage collection, if `--expose-gc` is set. */
export const usedHeapBytes = (): number => {
  for (let round = 0; round < ROUNDS; round += 1) {
    globalThis.gc?.();
  }
  return process.memoryUsage().heapUsed;
};

/**
 * Measures the mean heap use of an object.
 *
 * @param count - Number of objects to create.
 * @param make - Creates a container that references all of them.
 * @returns Bytes per object.
 */
export const heapBytesEach = (count: number, make: (count: number) => unknown): number => {
  const before = usedHeapBytes();
  const container = make(count);
  const after = usedHeapBytes();
  // Uses the container after the measurement, so that it isn't collected before.
  return container === null ? 0 : (after - before) / count;
};
