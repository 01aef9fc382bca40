import { END_KIND, ITEM_PHASE } from "./constants.js";
import type { Item, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import type { EndLine, RunningLine } from "./types.js";

const logTwice = (
  turn: Turn,
  worker: Worker,
  item: Item,
  number: number,
  how: EndLine["kind"] | "running",
): void => {
  logLine(turn, "warn", "run.twice", {
    item: item.key,
    run: number,
    worker: worker.report.id,
    how,
    otherRun: item.run?.number ?? item.lastRun,
    otherWorker: item.run?.worker ?? null,
    otherPhase: item.run?.phase ?? item.phase,
  });
};

/** Logs a run that a worker lists although another run of its item is the current one. */
export const checkRunningTwice = (
  turn: Turn,
  worker: Worker,
  item: Item | null,
  line: RunningLine,
): void => {
  if (item !== null && item.run !== null && item.run.number !== line.run) {
    logTwice(turn, worker, item, line.run, "running");
  }
};

/**
 * Logs an end of a run that is not the current run of its item, and a second run that has done an
 * item. To be called before the end is taken.
 */
export const checkEndedTwice = (
  turn: Turn,
  worker: Worker,
  item: Item | null,
  end: EndLine,
): void => {
  if (item === null) {
    return;
  }
  const other = item.run !== null && item.run.number !== end.run;
  const doneBefore = item.phase === ITEM_PHASE.DONE && item.lastRun > 0;
  if (other || (doneBefore && end.kind === END_KIND.DONE && item.lastRun !== end.run)) {
    logTwice(turn, worker, item, end.run, end.kind);
  }
};
