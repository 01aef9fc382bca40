import { addHostWorker, removeHostWorker } from "../hosts/hostWorkers.js";
import { updateReport } from "./incarnations.js";
import { addKind } from "../hosts/hosts.js";
import { poolOf } from "../hosts/pools.js";
import { transferRuns, abandonRuns } from "./abandonedRuns.js";
import { isRivalOf, noteRival } from "./rivalRegistrations.js";
import type { OwnedWork, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import { removeOrphans } from "./orphanedRuns.js";
import { NO_RESOURCES } from "./workerResources.js";
import { removeWorker, updateDraining, addWorker } from "./workerSet.js";
import { markWorkerChanged } from "./workerTimers.js";
import type { WorkerId, WorkerReport } from "../types.js";

const newWorker = (turn: Turn, report: WorkerReport, reportCurrent: boolean): Worker => ({
  report,
  registeredAtMs: turn.nowMs,
  registered: true,
  reportCurrent,
  rival: null,
  coldUntilMs: turn.nowMs + report.coldRemainingMs,
  clock: report.clockMs === null ? null : { clockMs: report.clockMs, atMs: turn.nowMs },
  leaseEndsAtMs: null,
  leaseUntilClockMs: 0,
  leaseSentAtMs: null,
  lateLeaseEndsAtMs: null,
  leaseUnverified: false,
  hadPreviousOwner: false,
  fenced: false,
  pollOrder: null,
  lastPollAtMs: null,
  nextPollAtMs: turn.nowMs,
  answeredAtMs: null,
  unreachable: false,
  seenSequence: 0,
  durableSequence: 0,
  acknowledgedSequence: 0,
  pollWaitMs: 0,
  polledAtMs: null,
  aliveAfterMs: null,
  recordedItems: 0,
  listedRuns: 0,
  acknowledgementWithheld: false,
  runs: new Map(),
  reservedItems: new Set(),
  orphanedRuns: new Map(),
  usedCpuMilli: 0,
  usedMemoryMb: 0,
  usedGpus: 0,
  capacityIndex: null,
  batchUse: { ...NO_RESOURCES },
  longRunningUse: { ...NO_RESOURCES },
  batchHosts: 0,
  longRunningRuns: 0,
  idleSinceMs: turn.nowMs,
  busySinceMs: turn.nowMs,
  latencyCalmSinceMs: 0,
  suspicions: new Map(),
  suspendedUntilMs: 0,
  capacityKnownAtMs: 0,
  reservedFor: null,
  hostReclaimed: false,
});

/** Removes a worker and abandons what is booked on it. */
export const discardWorker = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  reason: string,
): void => {
  removeWorker(owned, worker);
  abandonRuns(turn, owned, worker, reason);
  removeOrphans(owned, worker);
  removeHostWorker(owned, worker);
};

/**
 * Replaces a worker that has restarted under its id by its next incarnation.
 *
 * @param reportCurrent - Whether the report describes the new incarnation; otherwise it is the
 *   previous one's report with a new start time.
 * @param sinceMs - Since when the worker may have restarted.
 */
export const replaceIncarnation = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  report: WorkerReport,
  reportCurrent: boolean,
  sinceMs = turn.nowMs,
): Worker => {
  const replacement = newWorker(turn, report, reportCurrent);
  transferRuns(turn, owned, worker, replacement, sinceMs);
  discardWorker(turn, owned, worker, "the worker restarted");
  register(turn, owned, replacement);
  return replacement;
};

const register = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const { report } = worker;
  addWorker(owned, worker);
  addHostWorker(owned, worker);
  if (worker.reportCurrent) {
    addKind(owned, report.labels, report.capacity);
  }
  poolOf(owned, report.pool).dirty = true;
  logLine(turn, "info", "worker.registered", {
    worker: report.id,
    pool: report.pool,
    address: report.address,
    startWallMs: report.startWallMs,
    draining: report.draining,
  });
};

/** Replaces the report of a worker by a newer one of the same incarnation. */
export const applyReport = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  report: WorkerReport,
): void => {
  const changed = worker.report.draining !== report.draining || !worker.registered;
  if (changed) {
    logLine(turn, "info", "worker.changed", {
      worker: report.id,
      pool: report.pool,
      draining: report.draining,
      wasRegistered: worker.registered,
    });
  }
  removeHostWorker(owned, worker);
  updateReport(turn, worker, report);
  worker.registered = true;
  worker.reportCurrent = true;
  addKind(owned, report.labels, report.capacity);
  addHostWorker(owned, worker);
  markWorkerChanged(owned, worker);
  updateDraining(owned, worker);
  poolOf(owned, report.pool).dirty ||= changed;
};

/**
 * Handles a worker's registration, whether new or changed. One that names another incarnation or
 * address than the known ones counts once that incarnation has answered.
 */
export const workerRegistered = (turn: Turn, owned: OwnedWork, report: WorkerReport): void => {
  const worker = owned.workers.get(report.id);
  if (worker === undefined) {
    register(turn, owned, newWorker(turn, report, true));
  } else if (isRivalOf(worker, report)) {
    noteRival(turn, owned, worker, report);
  } else {
    applyReport(turn, owned, worker, report);
  }
};

/** Handles the removal of a worker's registration. Its runs count until its lease expires. */
export const workerDeregistered = (turn: Turn, owned: OwnedWork, id: WorkerId): void => {
  const worker = owned.workers.get(id);
  owned.refutedRegistrations.delete(id);
  if (worker !== undefined) {
    worker.rival = null;
  }
  if (worker?.registered === true) {
    worker.registered = false;
    removeHostWorker(owned, worker);
    markWorkerChanged(owned, worker);
    logLine(turn, "info", "worker.deregistered", {
      worker: id,
      pool: worker.report.pool,
      runs: worker.runs.size,
    });
  }
};
