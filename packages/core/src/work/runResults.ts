import { ORDER, RUN_PHASE, START_RESULT } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { noteClock } from "./leases.js";
import { dropRun, stopRun } from "./runs.js";
import { repeatStart } from "./starts.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import { itemBegan, itemLost } from "./submissions.js";
import { logLine, wakeAfter, type Turn } from "./turn.js";
import type { ItemKey } from "./types.js";

const runOf = (
  owned: OwnedWork,
  event: { worker: Worker["report"]["id"]; item: ItemKey; run: number },
): { worker: Worker; run: Run } | null => {
  const worker = owned.workers.get(event.worker);
  const run = worker?.runs.get(event.item);
  return worker !== undefined && run?.number === event.run ? { worker, run } : null;
};

/** Takes a worker's answer to a start. */
export const startAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  const found = runOf(owned, event);
  if (found === null) {
    return;
  }
  const { worker, run } = found;
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
      dropRun(turn, owned, worker, run);
      itemLost(turn, owned, run.item);
      return;
    case "notSent":
      if (run.startsSent > 1) {
        startUnanswered(turn, owned, worker, run);
      } else {
        startRefused(turn, owned, worker, run, event);
      }
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
    wakeAfter(turn, 1);
  }
};

const startRefused = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  if (run.startsSent > 1) {
    if (event.result === START_RESULT.OVER_BEFORE) {
      // An earlier order was carried out and the run is over: looks list its end.
      run.confirmedAtMs ??= turn.nowMs;
      return;
    }
    if (event.result !== START_RESULT.STALE_FENCE) {
      stopRun(turn, owned, run, "an earlier order may still be carried out");
      return;
    }
  }
  dropRun(turn, owned, worker, run);
  if (event.result === START_RESULT.STALE_FENCE) {
    turn.work.ownerView.nextPollAtMs = 0;
    owned.confirmedAtMs = -Infinity;
    owned.needsRenewal = true;
  } else {
    worker.restsUntilMs = Math.max(worker.restsUntilMs, turn.nowMs + ORDER.PAUSE_MS);
  }
  itemLost(turn, owned, run.item);
};

/** Takes a worker's answer to a stop. */
export const stopAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/stopAnswered" }>,
): void => {
  const worker = owned.workers.get(event.worker);
  if (worker === undefined) {
    return;
  }
  noteClock(turn, worker, event.clockMs);
  const run = worker.runs.get(event.item);
  if (run?.number !== event.run) {
    return;
  }
  if (event.wrongLife) {
    dropRun(turn, owned, worker, run);
    itemLost(turn, owned, run.item);
  } else if (event.settled) {
    run.stopConfirmedAtMs ??= turn.nowMs;
    worker.nextLookAtMs = turn.nowMs;
    wakeAfter(turn, 1);
  }
};

/** Everything ordered on a worker has ended: its lease is over, or it is another life. */
export const loseRuns = (turn: Turn, owned: OwnedWork, worker: Worker, why: string): void => {
  for (const run of [...worker.runs.values()]) {
    const planned = run.phase === RUN_PHASE.PLANNED;
    if (planned && owned.workers.get(worker.report.id) === worker) {
      continue;
    }
    dropRun(turn, owned, worker, run);
    itemLost(turn, owned, run.item);
    logLine(turn, "warn", "run.lost", {
      item: run.item.key,
      run: run.number,
      worker: worker.report.id,
      why,
    });
  }
};
