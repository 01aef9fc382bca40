import { RUN_PHASE } from "./constants.js";
import { isSilent } from "./leases.js";
import { stopRun } from "./runs.js";
import type { Item, OwnedWork, Run, Worker } from "./state.js";
import type { Turn } from "./turn.js";

/** What a worker listed last holds only while it answers. */
const isAtWork = (turn: Turn, owned: OwnedWork, { run }: Item): boolean => {
  const worker = run === null ? undefined : owned.workers.get(run.worker);
  return (
    run?.phase === RUN_PHASE.RUNNING &&
    run.percent >= 100 &&
    worker !== undefined &&
    !worker.unreachable &&
    !isSilent(turn, worker)
  );
};

/** @returns Items of the run's step that are not at work. */
const awayOthers = (turn: Turn, owned: OwnedWork, { item }: Run): number => {
  const step = item.submission.occurrences.get(item.occurrence)?.steps[item.step] ?? [];
  return step.filter((other) => other !== item && !isAtWork(turn, owned, other)).length;
};

/**
 * A run that looked as if it was still starting may be at work by now, so it counts like the others.
 *
 * @returns Whether a run may be ended by our doing without taking too much of its step away.
 */
const mayStop = (turn: Turn, owned: OwnedWork, run: Run): boolean => {
  const { maxUnavailable, lasting } = run.item.spec;
  return !lasting || maxUnavailable === null || awayOthers(turn, owned, run) < maxUnavailable;
};

/** Stops lasting work on a worker that is to be emptied, as its steps allow; the rest ends by itself. */
export const emptyWorker = (turn: Turn, owned: OwnedWork, worker: Worker, why: string): void => {
  for (const run of worker.runs.values()) {
    if (run.item.spec.lasting && run.phase === RUN_PHASE.RUNNING && mayStop(turn, owned, run)) {
      stopRun(turn, owned, run, why);
    }
  }
};

/** Moves lasting work off workers that are about to leave, as its steps allow. */
export const emptyLeaving = (turn: Turn, owned: OwnedWork): void => {
  for (const worker of owned.workers.values()) {
    if (worker.report.draining && worker.listed) {
      emptyWorker(turn, owned, worker, "the worker is leaving");
    }
  }
};
