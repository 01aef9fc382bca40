import { RUN_PHASE } from "./constants.js";
import { noteGivenUp } from "./givenUp.js";
import { dropRun } from "./runs.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import { itemLost } from "./submissions.js";
import { logLine, type Turn } from "./turn.js";

/**
 * Gives up a run that is on a worker no more, or never was ordered: its room is free, and its item
 * waits for room unless another run of it stands. Does nothing if the worker does not have this run.
 *
 * @param worker - The life of the worker that the run is booked on.
 * @param why - For the log.
 */
export const giveUpRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  why: string,
): void => {
  if (worker.runs.get(run.item.key) !== run) {
    return;
  }
  dropRun(turn, owned, worker, run);
  itemLost(turn, owned, run.item);
  if (run.phase !== RUN_PHASE.PLANNED) {
    noteGivenUp(turn, owned, worker, run, why);
    logLine(turn, "warn", "run.lost", {
      item: run.item.key,
      run: run.number,
      worker: worker.report.id,
      why,
    });
  }
};
