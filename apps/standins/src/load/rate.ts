import type { RatePhase } from "./types.js";

/**
 * @param phases - Stretches of time, repeated for ever.
 * @param elapsedMs - Time since the start.
 * @returns The factor in force then; 1 where there are no phases.
 */
export const factorAt = (phases: readonly RatePhase[], elapsedMs: number): number => {
  const cycleMs = phases.reduce((sum, phase) => sum + phase.durationMs, 0);
  if (cycleMs === 0) {
    return 1;
  }
  let leftMs = elapsedMs % cycleMs;
  for (const phase of phases) {
    if (leftMs < phase.durationMs) {
      return phase.factor;
    }
    leftMs -= phase.durationMs;
  }
  return 1;
};
