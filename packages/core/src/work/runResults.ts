import { ORDER, RUN_PHASE, START_RESULT } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { giveUpRun } from "./lostRuns.js";
import { noteClock } from "./leases.js";
import { workerAsked } from "./lives.js";
import { logOtherLife } from "./otherLife.js";
import { hasLooseStart, stopRun } from "./runs.js";
import { repeatStart } from "./starts.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import { itemBegan } from "./submissions.js";
import { logLine, wakeAfter, type Turn } from "./turn.js";
import { workerChanged } from "./workerTimers.js";

/** Handles a worker's answer to a start order, or the lack of one. */
export const startAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  const worker = workerAsked(turn, owned, event, "start");
  const run = worker?.runs.get(event.item);
  if (worker === null || run?.number !== event.run) {
    return;
  }
  run.startsAnswered += event.result === START_RESULT.UNANSWERED ? 0 : 1;
  noteClock(turn, worker, event.clockMs);
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
      itemBegan(owned, run.item.submission);
      return;
    case "staleFence":
    case "overBefore":
    case "leaseOver":
    case "refused":
    case "unhealthy":
      startRefused(turn, owned, worker, run, event);
      return;
    case "wrongLife":
      logOtherLife(turn, worker, "start", null);
      giveUpRun(turn, owned, worker, run, "another incarnation answered the start order");
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
  if (!repeatStart(turn, owned, worker, run)) {
    run.unansweredAtMs = turn.nowMs;
    worker.nextLookAtMs = turn.nowMs;
    workerChanged(owned, worker);
    wakeAfter(turn, 1);
  }
};

/**
 * Handles a start order that this node didn't send before its deadline. This tells nothing about
 * the worker, so the order is sent again and the worker stays open for other work.
 */
const startDelayed = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  if (hasLooseStart(run)) {
    startUnanswered(turn, owned, worker, run);
  } else if (!repeatStart(turn, owned, worker, run)) {
    giveUpRun(turn, owned, worker, run, "the start order was delayed on this node");
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
  } else if (!hasLooseStart(run)) {
    worker.restsUntilMs = Math.max(worker.restsUntilMs, turn.nowMs + ORDER.PAUSE_MS);
  }
  if (!hasLooseStart(run)) {
    giveUpRun(turn, owned, worker, run, `the worker refused the start order: ${event.result}`);
  } else if (event.result === START_RESULT.OVER_BEFORE) {
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
  const worker = workerAsked(turn, owned, event, "stop");
  if (worker === null) {
    return;
  }
  noteClock(turn, worker, event.clockMs);
  const run = worker.runs.get(event.item);
  if (run?.number !== event.run) {
    return;
  }
  if (event.wrongLife) {
    logOtherLife(turn, worker, "stop", null);
    giveUpRun(turn, owned, worker, run, "another incarnation answered the stop order");
  } else if (event.settled) {
    run.stopConfirmedAtMs ??= turn.nowMs;
    worker.nextLookAtMs = turn.nowMs;
    workerChanged(owned, worker);
    wakeAfter(turn, 1);
  }
};
