import { HEALTH } from "./constants.js";
import { poolOf } from "./pools.js";
import type { Item, OwnedWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";

/**
 * Returns what a failed run is evidence of. Items of a step of which others are done are known to
 * work, so each is evidence of its own; before, all items of a submission may have one fault.
 */
const suspicionBy = ({ submission, occurrence, step, key }: Item): string => {
  const doneCount = submission.occurrences.get(occurrence)?.steps[step]?.doneCount ?? 0;
  return doneCount > 0 ? key : submission.row.id;
};

/** Whether a pool can spare one more worker: work whose own fault it is fails on all of them. */
const canSpare = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  const { workers } = poolOf(owned, worker.report.pool);
  let suspended = 0;
  for (const other of workers) {
    suspended += other !== worker && other.suspendedUntilMs > turn.nowMs ? 1 : 0;
  }
  return suspended + 1 <= workers.size * HEALTH.MAX_SUSPENDED_SHARE;
};

/**
 * Records a failed run, and gives its worker a pause once runs fail there that would not fail
 * elsewhere. An item that has failed on another worker before is at fault itself.
 */
export const recordFailure = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item): void => {
  const suspicion = suspicionBy(item);
  if (item.avoidWorker !== null && item.avoidWorker !== worker.report.id) {
    owned.workers.get(item.avoidWorker)?.suspicions.delete(suspicion);
    return;
  }
  worker.suspicions.add(suspicion);
  if (worker.suspicions.size >= HEALTH.MAX_FAILURES && canSpare(turn, owned, worker)) {
    worker.suspendedUntilMs = turn.nowMs + HEALTH.SUSPEND_MS;
    logLine(turn, "warn", "worker.suspended", {
      worker: worker.report.id,
      failures: worker.suspicions.size,
      forMs: HEALTH.SUSPEND_MS,
    });
  }
};

/** Records that a run has ended as done, so that its worker works. */
export const recordSuccess = (worker: Worker): void => {
  worker.suspicions.clear();
};
