import { PROGRESS } from "../constants.js";
import { obstacleOf } from "../submissions/obstacles.js";
import type { Submission } from "../state.js";
import { hasEnded } from "../submissions/submissionStates.js";
import type { Progress } from "../types.js";

/** Whether what is done is stored as a window, since a list of it would grow without bound. */
export const storesWindow = ({ state, done }: Submission): boolean =>
  !hasEnded(state) && done.size > PROGRESS.MAX_LISTED_ITEMS;

const failuresOf = ({ failing }: Submission): Progress["failures"] => {
  const failures: Record<string, number[]> = {};
  for (const { occurrence, step, index, failedRuns } of failing) {
    failures[`${occurrence}.${step}.${index}`] = [...failedRuns];
  }
  return failures;
};

/** Returns the progress row of a submission. Item details are omitted once it has ended. */
export const progressOf = (submission: Submission): Progress => {
  const { row, state, done, layout, endedWallMs } = submission;
  const ended = hasEnded(state);
  const asWindow = storesWindow(submission);
  const obstacle = ended ? null : obstacleOf(submission);
  return {
    id: row.id,
    state,
    done: ended || asWindow ? {} : done.listed(layout),
    failures: ended ? {} : failuresOf(submission),
    endedWallMs,
    ...(asWindow ? { window: { firstOpen: done.firstOpen, done: done.bitsAbove() } } : {}),
    ...(obstacle === null ? {} : { obstacle }),
  };
};
