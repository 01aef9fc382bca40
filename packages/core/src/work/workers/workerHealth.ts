import { HEALTH } from "../constants.js";
import { poolOf } from "../hosts/pools.js";
import type { Item, OwnedWork, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";

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

/** Gives a worker a pause, unless its pool cannot spare it. */
const suspend = (turn: Turn, owned: OwnedWork, worker: Worker, reason: string): void => {
  if (!canSpare(turn, owned, worker)) {
    return;
  }
  worker.suspendedUntilMs = turn.nowMs + HEALTH.SUSPEND_MS;
  logLine(turn, "warn", "worker.suspended", {
    worker: worker.report.id,
    reason,
    failures: worker.suspicions.size,
    forMs: HEALTH.SUSPEND_MS,
  });
};

/** Whether an item has failed or stalled on another worker before, so that it is at fault itself. */
const isAtFault = ({ avoidWorker }: Item, worker: Worker): boolean =>
  avoidWorker !== null && avoidWorker !== worker.report.id;

const forgetOldSuspicions = (turn: Turn, { suspicions }: Worker): void => {
  for (const [suspicion, failedAtMs] of suspicions) {
    if (turn.nowMs - failedAtMs > HEALTH.SUSPICION_MS) {
      suspicions.delete(suspicion);
    }
  }
};

/**
 * Records a failed run, and gives its worker a pause once runs fail there that would not fail
 * elsewhere.
 */
export const recordFailure = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item): void => {
  const suspicion = suspicionBy(item);
  if (item.avoidWorker !== null && isAtFault(item, worker)) {
    owned.workers.get(item.avoidWorker)?.suspicions.delete(suspicion);
    return;
  }
  worker.suspicions.set(suspicion, turn.nowMs);
  forgetOldSuspicions(turn, worker);
  if (worker.suspicions.size >= HEALTH.MAX_FAILURES) {
    suspend(turn, owned, worker, "runs fail");
  }
};

/** Records a run without progress, and gives its worker a pause unless the item is at fault. */
export const recordStall = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item): void => {
  if (!isAtFault(item, worker)) {
    suspend(turn, owned, worker, "a run makes no progress");
  }
};

/** Records that a run has ended as done, so that its worker works. */
export const recordSuccess = (worker: Worker): void => {
  worker.suspicions.clear();
};
