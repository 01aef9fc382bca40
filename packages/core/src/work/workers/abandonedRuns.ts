import { ORDER, RUN_PHASE } from "../constants.js";
import { recordAbandonedRun } from "./abandonedRunLog.js";
import { expectLateLeases, leasesOfRivalEndAtMs } from "./earlierLeases.js";
import { chargeRun } from "./workerResources.js";
import { removeRun, hasUnresolvedStart } from "./runs.js";
import type { OwnedWork, Run, Worker } from "../state.js";
import { requeueItem } from "../submissions/submissions.js";
import { logLine, type Turn } from "../turn.js";

/**
 * Abandons a run that no longer runs on a worker or was never ordered: frees its resources and
 * requeues its item unless the item has another run. Does nothing if the run isn't booked on the
 * worker.
 *
 * @param worker - The incarnation of the worker that the run is booked on.
 * @param reason - Reason for the log.
 */
export const abandonRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  reason: string,
): void => {
  if (worker.runs.get(run.item.key) !== run) {
    return;
  }
  removeRun(turn, owned, worker, run);
  requeueItem(turn, owned, run.item);
  if (run.phase !== RUN_PHASE.PLANNED) {
    recordAbandonedRun(turn, owned, worker, run, reason);
    logLine(turn, "warn", "run.abandoned", {
      item: run.item.key,
      run: run.number,
      worker: worker.report.id,
      reason,
    });
  }
};

/**
 * Abandons every run that was ordered on a worker whose runs have ended and can't start there any
 * more. Planned runs are kept as long as the owner still has this incarnation, and abandoned
 * otherwise.
 */
export const abandonRuns = (turn: Turn, owned: OwnedWork, worker: Worker, reason: string): void => {
  for (const run of [...worker.runs.values()]) {
    const planned = run.phase === RUN_PHASE.PLANNED;
    if (!planned || owned.workers.get(worker.report.id) !== worker) {
      abandonRun(turn, owned, worker, run, reason);
    }
  }
};

/**
 * Returns until when runs may go on by start orders that a worker hasn't answered; -Infinity if it
 * has answered all. If it may have restarted, a late order can grant its next incarnation a lease.
 */
const unresolvedUntilMs = (turn: Turn, owned: OwnedWork, worker: Worker): number => {
  const untilMs = Math.max(
    ...[...worker.runs.values()]
      .filter((run) => hasUnresolvedStart(run))
      .map(({ startSentAtMs }) => (startSentAtMs ?? -Infinity) + ORDER.MAX_DELAY_MS),
  );
  return Number.isFinite(untilMs)
    ? Math.max(untilMs, leasesOfRivalEndAtMs(turn, owned, worker))
    : untilMs;
};

/**
 * Abandons the runs of a worker whose lease has expired, since nothing runs there any more. Runs
 * with unresolved start orders are kept for longer: the worker's next incarnation may still carry
 * these out.
 */
export const leaseExpired = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const untilMs = unresolvedUntilMs(turn, owned, worker);
  const mayStartLate = turn.nowMs < untilMs;
  worker.leaseEndsAtMs = mayStartLate ? untilMs : null;
  for (const run of [...worker.runs.values()]) {
    const isKept = run.phase === RUN_PHASE.PLANNED || (mayStartLate && hasUnresolvedStart(run));
    if (!isKept) {
      abandonRun(turn, owned, worker, run, "the lease expired");
    }
  }
};

/**
 * Marks a run whose order went to a previous incarnation as unconfirmed: a poll of the next
 * incarnation shows whether it runs there, and if it doesn't, the run is stopped.
 */
const markUnconfirmed = (run: Run, sinceMs: number): void => {
  if (run.phase !== RUN_PHASE.STOPPING) {
    run.phase = RUN_PHASE.ORDERED;
  }
  run.unansweredAtMs = Math.max(sinceMs, run.startSentAtMs ?? -Infinity);
  run.confirmedAtMs = null;
  run.listed = false;
  run.missingSinceMs = null;
  run.stopConfirmedAtMs = null;
  run.stopSentAtMs = run.stopSentAtMs === null ? null : -Infinity;
};

/**
 * Whether a run can't reach the worker's next incarnation: it isn't ordered yet, or a poll
 * has listed it and no start order is unresolved.
 */
const endedWithIncarnation = (run: Run): boolean =>
  run.phase === RUN_PHASE.PLANNED || (run.listed && !hasUnresolvedStart(run));

/**
 * Moves the runs of a worker's previous incarnation to its next one, which keeps no fencing token
 * and no ended run of it. It may carry out unresolved start orders, and answers don't say which
 * incarnation sent them. A run that a poll has listed and that has no unresolved start order ended
 * with the previous incarnation and is abandoned.
 *
 * @param sinceMs - Since when the worker may have restarted; polls that were sent later show what
 *   runs on the next incarnation.
 */
export const transferRuns = (
  turn: Turn,
  owned: OwnedWork,
  from: Worker,
  to: Worker,
  sinceMs: number,
): void => {
  for (const run of [...from.runs.values()]) {
    if (endedWithIncarnation(run)) {
      abandonRun(turn, owned, from, run, "the worker restarted");
      continue;
    }
    markUnconfirmed(run, sinceMs);
    from.runs.delete(run.item.key);
    to.runs.set(run.item.key, run);
    chargeRun(to, run, 1);
  }
  expectLateLeases(turn, owned, from, to);
};
