import type { StepSpec, WorkSpec } from "../../src/index.js";

/** Returns a batch step without placement constraints. */
export const stepOf = (count: number, cpuMilli: number, after: readonly number[]): StepSpec => ({
  count,
  needs: { cpuMilli, memoryMb: 100, gpus: 0 },
  estimateMs: 600,
  after,
  checkpointing: false,
  gang: false,
  rackLocal: false,
  requiredLabel: null,
  preferredRack: null,
  maxPerWorker: null,
  speculative: false,
  lasting: false,
  image: null,
  tailTargetMs: null,
  filler: false,
  maxUnavailable: null,
});

/** Returns the work of a submission that runs once, at once. */
export const workOf = (steps: readonly StepSpec[]): WorkSpec => ({
  payload: "text",
  steps,
  occurrences: 0,
  firstDueWallMs: 0,
  intervalMs: 0,
});
