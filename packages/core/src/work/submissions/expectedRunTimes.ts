import { hashOfText } from "@heatherferry/common";
import { callersExpectation, LEARNING, runKindOf } from "../estimates/index.js";
import type { Expectation, RunKind, RunTimeEstimates } from "../estimates/index.js";
import { updateDeadlines } from "./occurrences.js";
import { criticalPathsMs } from "./criticalPaths.js";
import type { Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { StepSpec, SubmissionRow } from "../types.js";

/** How long the items of a submission are expected to run. */
export interface SubmissionRunTimes {
  /** Kind of the runs of each step; empty if the submission had ended when it was adopted. */
  readonly kinds: readonly RunKind[];
  /** For each step, in the order of the steps. */
  expectations: readonly Expectation[];
  expectedAtMs: number;
}

/**
 * Returns how long a run of a step is expected to take. Nothing is learned of long-running work,
 * which doesn't end, and of fillers, which take as long as other work lets them.
 */
const expectStep = (
  estimates: RunTimeEstimates,
  kind: RunKind | undefined,
  { estimateMs, lasting, filler }: StepSpec,
  nowMs: number,
): Expectation =>
  kind === undefined || lasting || filler
    ? callersExpectation(estimateMs)
    : estimates.expect(kind, estimateMs, nowMs);

const expectationsOf = (
  estimates: RunTimeEstimates,
  { work }: SubmissionRow,
  kinds: readonly RunKind[],
  nowMs: number,
): readonly Expectation[] =>
  work.steps.map((spec, step) => expectStep(estimates, kinds[step], spec, nowMs));

/** Returns the kinds of the runs of each step. Costs a pass over the payload. */
const kindsOf = ({ queue, team, work }: SubmissionRow): readonly RunKind[] => {
  const payloadHash = hashOfText(work.payload);
  return work.steps.map(({ image }, step) => runKindOf({ queue, team, image, step, payloadHash }));
};

/**
 * Returns how long the items of a submission are expected to run.
 *
 * @param ended - Whether it has ended, so that nothing of it runs any more.
 */
export const newRunTimes = (
  { nowMs }: Turn,
  estimates: RunTimeEstimates,
  row: SubmissionRow,
  ended: boolean,
): SubmissionRunTimes => {
  const kinds = ended ? [] : kindsOf(row);
  return {
    kinds,
    expectations: expectationsOf(estimates, row, kinds, nowMs),
    expectedAtMs: nowMs,
  };
};

/** Returns the expected run time of an item of each step, in ms. */
export const expectedStepsMs = ({ expectations }: SubmissionRunTimes): readonly number[] =>
  expectations.map(({ expectedMs }) => expectedMs);

/** Returns the expected run time of an item of a step, in ms. */
export const expectedStepMs = ({ runTimes, row }: Submission, step: number): number =>
  runTimes.expectations[step]?.expectedMs ?? row.work.steps[step]?.estimateMs ?? 0;

/**
 * Expects the run times of a submission that waits anew, unless that was done a short time ago, and
 * computes its critical paths and deadlines from them.
 */
export const refreshRunTimes = (turn: Turn, submission: Submission): void => {
  const estimates = turn.work.owned?.runTimes;
  const { row, runTimes } = submission;
  if (estimates === undefined || turn.nowMs - runTimes.expectedAtMs < LEARNING.REFRESH_MS) {
    return;
  }
  runTimes.expectedAtMs = turn.nowMs;
  runTimes.expectations = expectationsOf(estimates, row, runTimes.kinds, turn.nowMs);
  submission.criticalPathsMs = criticalPathsMs(row.work, expectedStepsMs(runTimes));
  updateDeadlines(turn, submission);
};
