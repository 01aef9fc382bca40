import type { WorkloadState } from "./state.js";

/**
 * Cost of handling events so far. It is counted rather than timed, so that the same events always
 * cost the same.
 */
export interface HandlingCost {
  /** Workers, runs, submissions, items and calls that were examined one by one. */
  steps: number;
}

/** Counts entries that a decision examines one by one. */
export const countSteps = ({ work }: { readonly work: WorkloadState }, count: number): void => {
  work.handlingCost.steps += count;
};
