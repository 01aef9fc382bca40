import type { StepSpec, WorkSpec } from "../types.js";

/**
 * Computes the critical path of each step: the longest sum of estimated run times from the start of
 * the step to the end of the submission, in ms.
 */
export const criticalPathsMs = (work: WorkSpec): readonly number[] => {
  const pathsMs = work.steps.map(() => 0);
  for (let index = work.steps.length - 1; index >= 0; index -= 1) {
    const step = work.steps[index];
    // All steps that depend on this one are already included, as steps only depend on earlier ones.
    const pathMs = (pathsMs[index] ?? 0) + (step?.estimateMs ?? 0);
    pathsMs[index] = pathMs;
    for (const earlier of step?.after ?? []) {
      pathsMs[earlier] = Math.max(pathsMs[earlier] ?? 0, pathMs);
    }
  }
  return pathsMs;
};

/** Returns the batch steps, whose items end by themselves. */
export const batchSteps = (work: WorkSpec): readonly StepSpec[] =>
  work.steps.filter(({ lasting }) => !lasting);
