import {
  addArrival,
  addOffered,
  addRunTime,
  averagesOf,
  offeredOf,
  ownerRecords,
  rememberRefused,
} from "../admission/index.js";
import { END_KIND } from "../constants.js";
import type { OwnedWork, Run, Submission } from "../state.js";
import { batchSteps } from "../submissions/criticalPaths.js";
import { poolOfSubmission } from "../submissions/submissionStates.js";
import type { Turn } from "../turn.js";
import { reservedResources, RESOURCES } from "../workers/workerResources.js";
import type { EndLine, Resources, StepSpec, SubmissionRow } from "../types.js";

/** Returns the resources that items of steps need times their estimated run time, in ms. */
export const workOfItems = (
  steps: readonly { readonly spec: StepSpec; readonly count: number }[],
): Resources => {
  const work = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  for (const { spec, count } of steps) {
    const needs = reservedResources(spec);
    for (const resource of RESOURCES) {
      work[resource] += count * needs[resource] * spec.estimateMs;
    }
  }
  return work;
};

/** Adds a submission that was accepted to its team's rate and to the work that arrives in its pool. */
export const recordSubmission = (turn: Turn, owned: OwnedWork, submission: Submission): void => {
  const { row, overRate } = submission;
  const { nowMs, work } = turn;
  const records = ownerRecords(work.admission, owned.fence);
  if (row.team !== null) {
    const refused = row.refusedBefore ?? {};
    rememberRefused(records, refused, row.acceptedWallMs);
    const submissions = 1 + Object.keys(refused).length;
    addOffered(offeredOf(records, row.team, nowMs), submissions, nowMs);
  }
  if (!overRate) {
    const steps = batchSteps(row.work).map((spec) => ({ spec, count: spec.count }));
    const averages = averagesOf(records, poolOfSubmission(turn, row), nowMs);
    addArrival(averages, workOfItems(steps), nowMs);
  }
};

/** Returns when a submission was first refused, on the wall clock; null if it was not. */
export const firstRefusedWallMs = (
  { work }: Turn,
  { fence }: OwnedWork,
  { id }: SubmissionRow,
): number | null => ownerRecords(work.admission, fence).refusedAtWallMs.get(id) ?? null;

/** Adds the run time of a run to the averages of its pool, if it was done from its beginning. */
export const recordRunTime = (turn: Turn, owned: OwnedWork, run: Run, end: EndLine): void => {
  const { spec, submission } = run.item;
  if (end.kind !== END_KIND.DONE || spec.lasting || run.checkpoint !== null) {
    return;
  }
  const records = ownerRecords(turn.work.admission, owned.fence);
  const averages = averagesOf(records, poolOfSubmission(turn, submission.row), turn.nowMs);
  addRunTime(averages, spec.estimateMs, turn.nowMs - run.orderedAtMs, turn.nowMs);
};
