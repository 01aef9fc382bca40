import { hostFraction } from "../hosts/arrivals.js";
import { ITEM_PHASE, ORDER, RUN_PHASE } from "../constants.js";
import { countSteps } from "../handlingCost.js";
import { noteBookedRuns } from "../submissions/idleSubmissions.js";
import { markLeaseChanged } from "../store/leaseRows.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { poolOf } from "../hosts/pools.js";
import { removeReady } from "../submissions/readyItems.js";
import { chargeRun, reservedResources, releaseCapacity } from "./workerResources.js";
import type { Item, OwnedWork, Run, Worker } from "../state.js";
import { chargeTeam } from "../placement/teamUse.js";
import { logLine, type Turn } from "../turn.js";
import { targetOf } from "./incarnations.js";

const charge = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run, sign: 1 | -1): void => {
  const { submission, spec } = run.item;
  submission.bookedRuns += sign;
  noteBookedRuns(turn, owned, submission);
  chargeRun(worker, run, sign);
  chargeTeam(owned.teams, submission.row.team, spec.needs, sign);
};

/**
 * Books a run on a worker: one that is about to be ordered, or one that a worker lists.
 *
 * @param number - The run's number, unique within its item.
 */
export const addRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  item: Item,
  number: number,
): Run => {
  const resources = reservedResources(item.spec);
  const run: Run = {
    item,
    number,
    worker: worker.report.id,
    resources,
    share: hostFraction(resources, worker.report.capacity),
    phase: RUN_PHASE.PLANNED,
    orderedAtMs: turn.nowMs,
    startsSent: 0,
    startsAnswered: 0,
    startSentAtMs: null,
    unansweredAtMs: null,
    checkpoint: null,
    confirmedAtMs: null,
    listed: false,
    listedByPoll: null,
    percent: 0,
    percentSinceMs: turn.nowMs,
    load: null,
    pacePercent: 100,
    stopSentAtMs: null,
    stopConfirmedAtMs: null,
    missingSinceMs: null,
  };
  releaseCapacity(owned, item);
  item.run = run;
  item.lastRun = Math.max(item.lastRun, number);
  item.phase = ITEM_PHASE.PLACED;
  item.inherited = false;
  removeReady(item);
  if (worker.runs.size === 0) {
    worker.busySinceMs = turn.nowMs;
  }
  worker.runs.set(item.key, run);
  markLeaseChanged(owned, worker.report.id);
  charge(turn, owned, worker, run, 1);
  return run;
};

/** Removes the booking of a run that no longer runs, and frees its resources. */
export const removeRun = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  if (worker.runs.get(run.item.key) !== run) {
    return;
  }
  worker.runs.delete(run.item.key);
  markLeaseChanged(owned, worker.report.id);
  charge(turn, owned, worker, run, -1);
  if (run.item.run === run) {
    run.item.run = null;
  }
  if (worker.runs.size === 0) {
    worker.idleSinceMs = turn.nowMs;
  }
  poolOf(owned, worker.report.pool).dirty = true;
};

/** Orders a worker to stop a run. The run keeps its resources until its end is known. */
export const stopRun = (turn: Turn, owned: OwnedWork, run: Run, reason: string): void => {
  const worker = owned.workers.get(run.worker);
  if (worker === undefined || run.phase === RUN_PHASE.STOPPING) {
    return;
  }
  if (run.phase === RUN_PHASE.PLANNED) {
    // Only the end of the submission stops a run before it is ordered, so the item isn't requeued.
    removeRun(turn, owned, worker, run);
    return;
  }
  run.phase = RUN_PHASE.STOPPING;
  owned.stoppingRuns.add(run);
  sendStop(turn, owned, worker, run);
  logLine(turn, "info", "run.stopping", {
    item: run.item.key,
    run: run.number,
    worker: run.worker,
    reason,
  });
};

const sendStop = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  run.stopSentAtMs = turn.nowMs;
  markLeaseChanged(owned, worker.report.id);
  if (!isOwnershipConfirmed(turn, owned)) {
    return;
  }
  turn.effects.push({
    type: "worker/stop",
    item: run.item.key,
    run: run.number,
    ...targetOf(owned, worker),
  });
};

/** Resends stop orders that weren't answered in time. */
export const resendStops = (turn: Turn, owned: OwnedWork): void => {
  countSteps(turn, owned.stoppingRuns.size);
  for (const run of owned.stoppingRuns) {
    const worker = owned.workers.get(run.worker);
    if (worker?.runs.get(run.item.key) !== run) {
      owned.stoppingRuns.delete(run);
    } else if (
      run.stopConfirmedAtMs === null &&
      turn.nowMs - (run.stopSentAtMs ?? 0) >= ORDER.STOP_RETRY_MS
    ) {
      sendStop(turn, owned, worker, run);
    }
  }
};

/**
 * Whether a start order of a run is unresolved: sent, without an answer that tells its
 * outcome.
 */
export const hasUnresolvedStart = (run: Run): boolean => run.startsSent > run.startsAnswered;
