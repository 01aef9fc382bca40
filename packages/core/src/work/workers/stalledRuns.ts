import { HEALTH, RUN_PHASE } from "../constants.js";
import { expectedStepMs } from "../submissions/expectedRunTimes.js";
import { stopRun } from "./runs.js";
import type { Item, OwnedWork, Run, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import { recordStall } from "./workerHealth.js";

/**
 * Returns how long a run of an item may go without progress. Progress is reported in whole percent,
 * so a long item makes none for a while. The expected run time may be far too low: each stall doubles the
 * time.
 */
const stallAfterMs = ({ spec, stalls, submission, step }: Item): number => {
  const runTimeMs = spec.lasting ? 0 : expectedStepMs(submission, step);
  return Math.max(HEALTH.STALL_MS * 2 ** stalls, HEALTH.STALL_SHARE_OF_ESTIMATE * runTimeMs);
};

const isStalled = (worker: Worker, run: Run): boolean =>
  run.phase === RUN_PHASE.RUNNING &&
  run.pacePercent === 100 &&
  !(run.item.spec.lasting && run.percent >= 100) &&
  (worker.polledAtMs ?? 0) > Math.max(run.percentSinceMs, run.orderedAtMs) + stallAfterMs(run.item);

/**
 * Stops runs of a worker that polls show without progress, so that they restart on other workers.
 */
export const stopStalledRuns = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  for (const run of worker.runs.values()) {
    if (isStalled(worker, run)) {
      recordStall(turn, owned, worker, run.item);
      run.item.stalls += 1;
      run.item.avoidWorker = worker.report.id;
      stopRun(turn, owned, run, "no progress");
    }
  }
};
