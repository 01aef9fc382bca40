import { HEALTH, RUN_PHASE } from "./constants.js";
import { stopRun } from "./runs.js";
import type { OwnedWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";

/**
 * Stops runs of a worker that polls show without progress, so that they restart on other workers.
 */
export const stopStalledRuns = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  for (const run of worker.runs.values()) {
    const sinceMs = Math.max(run.percentSinceMs, run.orderedAtMs);
    const stalled =
      run.phase === RUN_PHASE.RUNNING &&
      run.pacePercent === 100 &&
      !(run.item.spec.lasting && run.percent >= 100) &&
      (worker.polledAtMs ?? 0) > sinceMs + HEALTH.STALL_MS;
    if (stalled) {
      run.item.avoidWorker = worker.report.id;
      worker.suspendedUntilMs = Math.max(worker.suspendedUntilMs, turn.nowMs + HEALTH.SUSPEND_MS);
      stopRun(turn, owned, run, "no progress");
    }
  }
};
