import { END_KIND, ITEM_PHASE } from "../constants.js";
import type { Item, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { EndLine, RunningLine } from "../types.js";

const logDuplicate = (
  turn: Turn,
  worker: Worker,
  item: Item,
  number: number,
  how: EndLine["kind"] | "running",
): void => {
  logLine(turn, "warn", "run.duplicate", {
    item: item.key,
    run: number,
    worker: worker.report.id,
    how,
    otherRun: item.run?.number ?? item.lastRun,
    otherWorker: item.run?.worker ?? null,
    otherPhase: item.run?.phase ?? item.phase,
  });
};

/**
 * Logs that a worker lists a run as running although another run of the item is the current one.
 */
export const logDuplicateRun = (
  turn: Turn,
  worker: Worker,
  item: Item | null,
  line: RunningLine,
): void => {
  if (item !== null && item.run !== null && item.run.number !== line.run) {
    logDuplicate(turn, worker, item, line.run, "running");
  }
};

/**
 * Logs the end of a run that isn't the current run of its item, or that completes an item which
 * another run has completed already. Must be called before the end is applied.
 */
export const logDuplicateEnd = (
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
    logDuplicate(turn, worker, item, end.run, end.kind);
  }
};
