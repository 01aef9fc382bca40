import { performance } from "node:perf_hooks";

const US_PER_MS = 1_000;
const ROUNDS = 5;

/**
 * Measures the median time per call over several rounds, after a warm-up round.
 *
 * @param calls - Number of calls in a round.
 * @param call - Function to measure; receives the number of the call.
 * @returns Microseconds per call.
 */
export const microsecondsEach = (calls: number, call: (index: number) => void): number => {
  const rounds: number[] = [];
  for (let round = 0; round <= ROUNDS; round += 1) {
    const startMs = performance.now();
    for (let index = 0; index < calls; index += 1) {
      call(round * calls + index);
    }
    rounds.push(((performance.now() - startMs) / calls) * US_PER_MS);
  }
  rounds.shift();
  return rounds.sort((left, right) => left - right)[Math.floor(ROUNDS / 2)] ?? 0;
};
