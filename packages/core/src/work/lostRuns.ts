import { ORDER, RUN_PHASE } from "./constants.js";
import { noteGivenUp } from "./givenUp.js";
import { expectLateLease } from "./leases.js";
import { chargeRun } from "./room.js";
import { dropRun, hasLooseStart } from "./runs.js";
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

/** Gives up all that was ordered on a worker: it has ended, and nothing of it can start there. */
export const loseRuns = (turn: Turn, owned: OwnedWork, worker: Worker, why: string): void => {
  for (const run of [...worker.runs.values()]) {
    const planned = run.phase === RUN_PHASE.PLANNED;
    if (!planned || owned.workers.get(worker.report.id) !== worker) {
      giveUpRun(turn, owned, worker, run, why);
    }
  }
};

/** @returns Until when orders that had no answer may be carried out on a worker. */
const lateUntilMs = (worker: Worker): number =>
  Math.max(
    ...[...worker.runs.values()]
      .filter((run) => hasLooseStart(run))
      .map(({ startSentAtMs }) => (startSentAtMs ?? -Infinity) + ORDER.LATE_MS),
  );

/**
 * A worker's lease is over, so nothing runs there. What was ordered without an answer may still
 * start in its next life under the same id, and is kept a while longer.
 */
export const leaseEnded = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const untilMs = lateUntilMs(worker);
  const waits = turn.nowMs < untilMs;
  worker.leaseEndsAtMs = waits ? untilMs : null;
  for (const run of [...worker.runs.values()]) {
    const keeps = run.phase === RUN_PHASE.PLANNED || (waits && hasLooseStart(run));
    if (!keeps) {
      giveUpRun(turn, owned, worker, run, "the lease ended");
    }
  }
};

/** An order to an earlier life of the worker is settled by a look at this one, and then a stop. */
const doubtRun = (turn: Turn, run: Run): void => {
  if (run.phase !== RUN_PHASE.STOPPING) {
    run.phase = RUN_PHASE.ORDERED;
  }
  run.unansweredAtMs = turn.nowMs;
  run.confirmedAtMs = null;
  run.shown = false;
  run.missingSinceMs = null;
  run.stopConfirmedAtMs = null;
  run.stopSentAtMs = run.stopSentAtMs === null ? null : -Infinity;
};

/** @returns Whether a run can only have been on the life of the worker that is known. */
const isOfKnownLife = (run: Run): boolean =>
  run.phase === RUN_PHASE.PLANNED || (run.shown && !hasLooseStart(run));

/**
 * Hands the runs of a worker's earlier life to its next one, which knows no fence and no ended run.
 * Orders without an answer may be carried out there, and answers do not tell which life gave them;
 * what a look has shown, and was ordered but once, ended with the earlier life.
 */
export const carryRuns = (turn: Turn, owned: OwnedWork, from: Worker, to: Worker): void => {
  for (const run of [...from.runs.values()]) {
    if (isOfKnownLife(run)) {
      giveUpRun(turn, owned, from, run, "the worker started again");
      continue;
    }
    doubtRun(turn, run);
    from.runs.delete(run.item.key);
    to.runs.set(run.item.key, run);
    chargeRun(to, run, 1);
  }
  if (to.runs.size > 0) {
    expectLateLease(turn, to, Math.max(from.leaseUntilClockMs, from.lateLeaseUntilClockMs ?? 0));
  }
};
