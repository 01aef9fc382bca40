import {
  addArrival,
  addOffered,
  addRunTime,
  averagesOf,
  offeredOf,
  ownerRecords,
  rememberRefused,
  type RememberedRefusal,
} from "../admission/index.js";
import { END_KIND } from "../constants.js";
import type { OwnedWork, Run, Submission } from "../state.js";
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

/**
 * Adds a submission to its team's rate and to the work that arrives in its pool, and the refused
 * ones that its row tells of to the rates of theirs.
 */
export const recordSubmission = (turn: Turn, owned: OwnedWork, submission: Submission): void => {
  const { row, overRate } = submission;
  const { nowMs, work } = turn;
  const records = ownerRecords(work.admission, owned.fence);
  const refused = Object.values(row.refusedBefore ?? {}).map(({ beyondRateOf }) => beyondRateOf);
  for (const team of [row.team, ...refused]) {
    if (team != null) {
      addOffered(offeredOf(records, team, nowMs), 1, nowMs);
    }
  }
  if (!overRate) {
    const steps = row.work.steps
      .filter(({ lasting }) => !lasting)
      .map((spec) => ({ spec, count: spec.count }));
    const averages = averagesOf(records, poolOfSubmission(turn, row), nowMs);
    addArrival(averages, workOfItems(steps), nowMs);
  }
};

/** Returns the earlier refusals of a submission, and remembers those that its row tells of. */
export const earlierRefusal = (
  { work }: Turn,
  { fence }: OwnedWork,
  { id, refusedBefore, acceptedWallMs }: SubmissionRow,
): RememberedRefusal | null => {
  const records = ownerRecords(work.admission, fence);
  rememberRefused(records, refusedBefore ?? {}, acceptedWallMs);
  return records.refused.get(id) ?? null;
};

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
