import { END_KIND, ITEM_PHASE, RUN_PHASE } from "../constants.js";
import { markGangDone } from "../placement/gangs.js";
import { logDuplicateEnd } from "./duplicateRuns.js";
import { addRun, removeRun, stopRun } from "./runs.js";
import type { Item, OwnedWork, Worker } from "../state.js";
import { learnFromEnd } from "./learnedRuns.js";
import { recordRunTime } from "../placement/poolAverages.js";
import { removeOrphan, orphanListed } from "./orphanedRuns.js";
import { itemForRun } from "../submissions/openItems.js";
import { hasEnded } from "../submissions/submissionStates.js";
import { itemStarted, itemDone, itemFailed, requeueItem } from "../submissions/submissions.js";
import { logLine, type Turn } from "../turn.js";
import { recordFailure, recordSuccess } from "./workerHealth.js";
import type { EndLine, RunningLine } from "../types.js";

/** Handles the end of a run that a worker lists for the first time. */
export const runEnded = (turn: Turn, owned: OwnedWork, worker: Worker, end: EndLine): void => {
  const booked = worker.runs.get(end.item);
  const run = booked?.number === end.run ? booked : undefined;
  const item = run?.item ?? itemForRun(turn, owned, end.item);
  logDuplicateEnd(turn, worker, item, end);
  if (run !== undefined) {
    learnFromEnd(turn, owned, worker, run, end.kind);
    recordRunTime(turn, owned, run, end);
    removeRun(turn, owned, worker, run);
  }
  removeOrphan(owned, worker, end);
  logLine(turn, "info", "run.ended", {
    item: end.item,
    run: end.run,
    worker: worker.report.id,
    how: end.kind,
    known: run !== undefined,
    afterMs: run === undefined ? null : Math.round(turn.nowMs - run.orderedAtMs),
  });
  if (item === null) {
    return;
  }
  item.lastRun = Math.max(item.lastRun, end.run);
  if (end.checkpoint !== "") {
    item.checkpoint = end.checkpoint;
  }
  applyEnd(turn, owned, worker, item, end, run !== undefined);
};

/**
 * Applies the end of a run that was done. Long-running work is never done: it runs until its
 * submission is cancelled, so it is started again however its runs end.
 */
const runDone = (turn: Turn, owned: OwnedWork, worker: Worker, item: Item, run: number): void => {
  recordSuccess(worker);
  if (item.spec.lasting) {
    requeueItem(turn, owned, item);
  } else if (item.spec.gang) {
    markGangDone(turn, owned, item, run);
  } else {
    itemDone(turn, owned, item, run);
  }
};

const applyEnd = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  item: Item,
  end: EndLine,
  wasBooked: boolean,
): void => {
  if (end.kind === END_KIND.DONE) {
    runDone(turn, owned, worker, item, end.run);
    return;
  }
  if (end.kind === END_KIND.FAILED) {
    recordFailure(turn, owned, worker, item);
    item.avoidWorker = worker.report.id;
    itemFailed(turn, owned, item, end.run);
    return;
  }
  if (wasBooked && item.run === null) {
    requeueItem(turn, owned, item);
  }
};

/** A poll whose answer is being handled. */
export interface AnsweredPoll {
  readonly order: number;
  readonly sentAtMs: number;
}

/** Handles a run that a worker lists as running. */
export const runListed = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  line: RunningLine,
  poll: AnsweredPoll,
): void => {
  const { order, sentAtMs } = poll;
  const run = worker.runs.get(line.item);
  if (run?.number === line.run) {
    run.listedByPoll = order;
    run.confirmedAtMs ??= sentAtMs;
    run.listed = true;
    run.load = line.load;
    if (line.percent !== run.percent) {
      run.percent = line.percent;
      run.percentSinceMs = turn.nowMs;
    }
    if (line.checkpoint !== "") {
      run.item.checkpoint = line.checkpoint;
    }
    if (run.phase === RUN_PHASE.ORDERED) {
      run.phase = RUN_PHASE.RUNNING;
    }
    if (run.stopConfirmedAtMs !== null && sentAtMs > run.stopConfirmedAtMs) {
      // It runs in an incarnation of the worker that didn't receive the stop order.
      run.stopConfirmedAtMs = null;
    }
    itemStarted(owned, run.item.submission);
    return;
  }
  unbookedRunListed(turn, owned, worker, line, poll);
};

/** Adopts a listed run that isn't booked on the worker, or stops it as an orphan. */
const unbookedRunListed = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  line: RunningLine,
  poll: AnsweredPoll,
): void => {
  const item = itemForRun(turn, owned, line.item);
  if (item?.run === null) {
    adoptRun(turn, owned, worker, item, line, poll);
    return;
  }
  orphanListed(turn, owned, worker, line, poll.order);
};

/**
 * Books a run that a previous owner started. It continues if its item is ready and was inherited
 * from that owner; otherwise it is stopped.
 */
const adoptRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  item: Item,
  line: RunningLine,
  { order, sentAtMs }: AnsweredPoll,
): void => {
  const { phase, inherited } = item;
  const wanted = phase === ITEM_PHASE.READY && inherited && !hasEnded(item.submission.state);
  const run = addRun(turn, owned, worker, item, line.run);
  run.phase = RUN_PHASE.RUNNING;
  run.confirmedAtMs = sentAtMs;
  run.listed = true;
  run.listedByPoll = order;
  run.percent = line.percent;
  run.load = line.load;
  logLine(turn, "info", "run.adopted", {
    item: line.item,
    run: line.run,
    worker: worker.report.id,
    fence: Number(owned.fence),
    wanted,
  });
  if (wanted) {
    item.checkpoint = line.checkpoint === "" ? null : line.checkpoint;
    itemStarted(owned, item.submission);
    return;
  }
  if (phase === ITEM_PHASE.DONE) {
    item.phase = phase;
  }
  stopRun(turn, owned, run, "its item needs no run");
};
