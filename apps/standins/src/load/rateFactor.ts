import type { RatePhase } from "./types.js";

/**
 * Returns the rate factor of a point in time.
 *
 * @param phases - Phases of the rate; they repeat cyclically.
 * @param elapsedMs - Time since the start of the load.
 * @returns The factor of the phase at that time; 1 if there are no phases.
 */
export const rateFactorAt = (phases: readonly RatePhase[], elapsedMs: number): number => {
  const cycleMs = phases.reduce((sum, phase) => sum + phase.durationMs, 0);
  if (cycleMs === 0) {
    return 1;
  }
  let remainingMs = elapsedMs % cycleMs;
  for (const phase of phases) {
    if (remainingMs < phase.durationMs) {
      return phase.factor;
    }
    remainingMs -= phase.durationMs;
  }
  return 1;
};
