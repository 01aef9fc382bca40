import { ORDER, RUN_PHASE, START_RESULT } from "../constants.js";
import type { StartResult, WorkEvent } from "../events.js";
import { abandonRun } from "./abandonedRuns.js";
import { recordWorkerClock } from "./leases.js";
import { answeringWorker } from "./incarnations.js";
import { logOtherIncarnation } from "./otherIncarnation.js";
import { hasUnresolvedStart, stopRun } from "./runs.js";
import { resendStart } from "../placement/starts.js";
import type { OwnedWork, Run, Worker } from "../state.js";
import { itemStarted } from "../submissions/submissions.js";
import { logLine, wakeAfter, type Turn } from "../turn.js";
import { markWorkerChanged } from "./workerTimers.js";

/** Handles a worker's answer to a start order, or the lack of one. */
export const startAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  const worker = answeringWorker(turn, owned, event, "start");
  const run = worker?.runs.get(event.item);
  if (worker === null || run?.number !== event.run) {
    return;
  }
  run.startsAnswered += event.result === START_RESULT.UNANSWERED ? 0 : 1;
  recordWorkerClock(turn, worker, event.clockMs);
  if (event.result !== START_RESULT.STARTED) {
    logLine(turn, "warn", "run.notStarted", {
      item: event.item,
      run: event.run,
      worker: event.worker,
      result: event.result,
      reason: event.reason,
    });
  }
  switch (event.result) {
    case "started":
      run.confirmedAtMs ??= turn.nowMs;
      if (run.phase === RUN_PHASE.ORDERED) {
        run.phase = RUN_PHASE.RUNNING;
      }
      itemStarted(owned, run.item.submission);
      return;
    case "staleFence":
    case "overBefore":
    case "leaseOver":
    case "refused":
    case "unhealthy":
      startRefused(turn, owned, worker, run, event);
      return;
    case "wrongLife":
      logOtherIncarnation(turn, worker, "start", null);
      abandonRun(turn, owned, worker, run, "another incarnation answered the start order");
      return;
    case "notSent":
      if (run.startsSent > 1) {
        startUnanswered(turn, owned, worker, run);
      } else {
        startRefused(turn, owned, worker, run, event);
      }
      return;
    case "heldUp":
      startDelayed(turn, owned, worker, run);
      return;
    case "unanswered":
      startUnanswered(turn, owned, worker, run);
      return;
  }
};

const startUnanswered = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  if (!resendStart(turn, owned, worker, run)) {
    run.unansweredAtMs = turn.nowMs;
    worker.nextPollAtMs = turn.nowMs;
    markWorkerChanged(owned, worker);
    wakeAfter(turn, 1);
  }
};

/**
 * Handles a start order that this node didn't send before its deadline. This says nothing about
 * the worker, so the order is sent again and the worker stays open for other work.
 */
const startDelayed = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  if (hasUnresolvedStart(run)) {
    startUnanswered(turn, owned, worker, run);
  } else if (!resendStart(turn, owned, worker, run)) {
    abandonRun(turn, owned, worker, run, "the start order was delayed on this node");
  }
};

/** Results of a start order with which a worker extends its lease although it starts nothing. */
const EXTENDING_REFUSALS: readonly StartResult[] = [
  START_RESULT.ALREADY_ENDED,
  START_RESULT.LEASE_EXPIRED,
  START_RESULT.REFUSED,
];

/** Has a worker polled after a refusal, which doesn't say which incarnation extended its lease. */
const markLeaseUnverified = (owned: OwnedWork, worker: Worker, result: StartResult): void => {
  if (EXTENDING_REFUSALS.includes(result)) {
    worker.leaseUnverified = true;
    markWorkerChanged(owned, worker);
  }
};

const startRefused = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  if (event.result === START_RESULT.STALE_FENCE) {
    turn.work.ownerView.nextPollAtMs = 0;
    owned.confirmedAtMs = -Infinity;
    owned.needsRenewal = true;
  } else if (!hasUnresolvedStart(run)) {
    markLeaseUnverified(owned, worker, event.result);
    worker.suspendedUntilMs = Math.max(
      worker.suspendedUntilMs,
      turn.nowMs + ORDER.REFUSAL_PAUSE_MS,
    );
  }
  if (!hasUnresolvedStart(run)) {
    abandonRun(turn, owned, worker, run, `the worker refused the start order: ${event.result}`);
  } else if (event.result === START_RESULT.ALREADY_ENDED) {
    // The worker carried out an earlier order and the run has ended; a poll will list its end.
    run.confirmedAtMs ??= turn.nowMs;
  } else {
    stopRun(turn, owned, run, "an earlier start order may still be carried out");
  }
};

/** Handles a worker's answer to a stop order, or the lack of one. */
export const stopAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/stopAnswered" }>,
): void => {
  const worker = answeringWorker(turn, owned, event, "stop");
  if (worker === null) {
    return;
  }
  recordWorkerClock(turn, worker, event.clockMs);
  const run = worker.runs.get(event.item);
  if (run?.number !== event.run) {
    return;
  }
  if (event.wrongIncarnation) {
    logOtherIncarnation(turn, worker, "stop", null);
    abandonRun(turn, owned, worker, run, "another incarnation answered the stop order");
  } else if (event.settled) {
    run.stopConfirmedAtMs ??= turn.nowMs;
    worker.nextPollAtMs = turn.nowMs;
    markWorkerChanged(owned, worker);
    wakeAfter(turn, 1);
  }
};
