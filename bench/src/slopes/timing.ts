import { performance } from "node:perf_hooks";

const US_PER_MS = 1_000;
const ROUNDS = 5;

/**
 * Median time of one call over several rounds, after a warm-up round.
 *
 * @param calls - Calls in a round.
 * @param call - What is measured; it is given its number.
 * @returns Microseconds a call.
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
