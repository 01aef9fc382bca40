import type { WorkloadState } from "./state.js";

/**
 * What handling events has cost so far, counted and not timed, so that the same events always cost
 * the same.
 */
export interface Effort {
  /** Workers, runs, submissions, items and calls that were looked at one by one. */
  steps: number;
}

/** Counts what a decision looks at one by one. */
export const lookedAt = ({ work }: { readonly work: WorkloadState }, count: number): void => {
  work.effort.steps += count;
};
