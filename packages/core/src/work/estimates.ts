import type { StepSpec, WorkSpec } from "./types.js";

/**
 * @param work - What was handed in.
 * @returns For each step, the longest chain of estimated run times from its start to the end.
 */
export const chainsMs = (work: WorkSpec): readonly number[] => {
  const chains = work.steps.map(() => 0);
  for (let number = work.steps.length - 1; number >= 0; number -= 1) {
    const step = work.steps[number];
    // Later steps have added theirs already, since steps only wait for earlier ones.
    const ownMs = (chains[number] ?? 0) + (step?.estimateMs ?? 0);
    chains[number] = ownMs;
    for (const earlier of step?.after ?? []) {
      chains[earlier] = Math.max(chains[earlier] ?? 0, ownMs);
    }
  }
  return chains;
};

/** @returns The steps that end by themselves. */
export const endingSteps = (work: WorkSpec): readonly StepSpec[] =>
  work.steps.filter(({ lasting }) => !lasting);
