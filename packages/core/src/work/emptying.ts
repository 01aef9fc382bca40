import { LEASE, RUN_PHASE } from "./constants.js";
import { hostRoom, shareOf } from "./arrivals.js";
import { isSilent } from "./leases.js";
import { reserveNextPlace } from "./places.js";
import { poolOf } from "./pools.js";
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

/**
 * Moves lasting work off a worker that is to be emptied, as its steps allow and as others have room
 * for it at once; the rest ends by itself.
 *
 * @param last - There is no time left to wait for room on others.
 */
export const emptyWorker = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  why: string,
  last: boolean,
): void => {
  if (worker.lastingRuns === 0) {
    return;
  }
  const pool = poolOf(owned, worker.report.pool);
  for (const run of worker.runs.values()) {
    const moves = run.item.spec.lasting && run.phase === RUN_PHASE.RUNNING;
    if (!moves || !mayStop(turn, owned, run)) {
      continue;
    }
    if (reserveNextPlace(turn, owned, pool, run.item) || last) {
      stopRun(turn, owned, run, why);
    } else {
      pool.displacedHosts += shareOf(run.room, hostRoom(pool));
    }
  }
};

/** Moves lasting work off workers that are about to leave, as its steps allow. */
export const emptyLeaving = (turn: Turn, owned: OwnedWork): void => {
  for (const worker of owned.leavingWorkers) {
    if (worker.listed) {
      const { drainRemainingMs } = worker.report;
      const leavesNow = drainRemainingMs === null || drainRemainingMs < LEASE.LEAVING_MS;
      emptyWorker(turn, owned, worker, "the worker is leaving", leavesNow);
    }
  }
};
