import { RESOURCES } from "./workers/workerResources.js";
import type { Resources, StepSpec, WorkSpec } from "./types.js";

/** The largest host. No worker has more, and no item can need more. */
export const LARGEST_HOST: Resources = {
  cpuMilli: 4_096_000,
  memoryMb: 32 * 1_024 * 1_024,
  gpus: 1_024,
};

/** More than all hosts together have. */
export const UNBOUNDED_RESOURCES: Resources = {
  cpuMilli: Number.MAX_SAFE_INTEGER,
  memoryMb: Number.MAX_SAFE_INTEGER,
  gpus: Number.MAX_SAFE_INTEGER,
};

/** The longest time, and the latest on a wall clock: the last date that the runtime represents. */
export const LONGEST_MS = 8.64e15;

const bounded = (value: number, most: number): number => Math.min(most, Math.max(0, value));

const boundedNeeds = (needs: Resources): Resources => ({
  cpuMilli: bounded(needs.cpuMilli, LARGEST_HOST.cpuMilli),
  memoryMb: bounded(needs.memoryMb, LARGEST_HOST.memoryMb),
  gpus: bounded(needs.gpus, LARGEST_HOST.gpus),
});

const boundedStep = (step: StepSpec): StepSpec => ({
  ...step,
  needs: boundedNeeds(step.needs),
  estimateMs: bounded(step.estimateMs, LONGEST_MS),
});

const isStepBounded = ({ needs, estimateMs }: StepSpec): boolean =>
  estimateMs >= 0 &&
  estimateMs <= LONGEST_MS &&
  RESOURCES.every((resource) => needs[resource] >= 0 && needs[resource] <= LARGEST_HOST[resource]);

/**
 * Returns a stored submission's work with each quantity within its bounds. A version that checked
 * fewer of them may have accepted it, and accepted work is never left out.
 */
export const boundedWork = (work: WorkSpec): WorkSpec => ({
  ...work,
  steps: work.steps.every(isStepBounded) ? work.steps : work.steps.map(boundedStep),
  firstDueWallMs: bounded(work.firstDueWallMs, LONGEST_MS),
  intervalMs: bounded(work.intervalMs, LONGEST_MS),
});
