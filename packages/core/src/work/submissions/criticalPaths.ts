import type { WorkSpec } from "../types.js";

/**
 * Computes the critical path of each step: the longest sum of run times from the start of the step
 * to the end of the submission, in ms.
 *
 * @param runTimesMs - Run time of an item of each step; by default the caller's estimate.
 */
export const criticalPathsMs = (
  work: WorkSpec,
  runTimesMs: readonly number[] = work.steps.map(({ estimateMs }) => estimateMs),
): readonly number[] => {
  const pathsMs = work.steps.map(() => 0);
  for (let index = work.steps.length - 1; index >= 0; index -= 1) {
    const step = work.steps[index];
    // All steps that depend on this one are already included, as steps only depend on earlier ones.
    const pathMs = (pathsMs[index] ?? 0) + (runTimesMs[index] ?? 0);
    pathsMs[index] = pathMs;
    for (const earlier of step?.after ?? []) {
      pathsMs[earlier] = Math.max(pathsMs[earlier] ?? 0, pathMs);
    }
  }
  return pathsMs;
};
