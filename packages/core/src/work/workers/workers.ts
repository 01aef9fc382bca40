import { LEASE, INCARNATION_RELATION } from "../constants.js";
import type { IncarnationRelation, WorkEvent } from "../events.js";
import { addHostWorker, removeHostWorker } from "../hosts/hostWorkers.js";
import { expectPreviousLeases, leaseVerified } from "./earlierLeases.js";
import { recordWorkerClock } from "./leases.js";
import { relateIncarnation, updateReport, answeringWorker } from "./incarnations.js";
import { logOtherIncarnation } from "./otherIncarnation.js";
import { addKind } from "../hosts/hosts.js";
import { paceFillers } from "./pacing.js";
import { poolOf } from "../hosts/pools.js";
import { runEnded, runListed } from "./runEnds.js";
import { logOvercommitment } from "./overcommitment.js";
import { transferRuns, abandonRuns } from "./abandonedRuns.js";
import type { OwnedWork, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import { removeOrphans } from "./orphanedRuns.js";
import { abandonMissingRuns } from "./missingRuns.js";
import { pollGapMs } from "../loopLag.js";
import { stopStalledRuns } from "./stalledRuns.js";
import { NO_RESOURCES } from "./workerResources.js";
import { removeWorker, updateDraining, addWorker, noteAnswered } from "./workerSet.js";
import { markWorkerChanged } from "./workerTimers.js";
import type { WorkerId, WorkerReport } from "../types.js";

const newWorker = (turn: Turn, report: WorkerReport, reportCurrent: boolean): Worker => ({
  report,
  registeredAtMs: turn.nowMs,
  registered: true,
  reportCurrent,
  earlierReport: null,
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

const discardWorker = (turn: Turn, owned: OwnedWork, worker: Worker, reason: string): void => {
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
 */
const replaceIncarnation = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  report: WorkerReport,
  reportCurrent: boolean,
): void => {
  const replacement = newWorker(turn, report, reportCurrent);
  transferRuns(turn, owned, worker, replacement);
  discardWorker(turn, owned, worker, "the worker restarted");
  register(turn, owned, replacement);
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

/** Handles a worker's registration, whether new or changed. */
export const workerRegistered = (turn: Turn, owned: OwnedWork, report: WorkerReport): void => {
  const worker = owned.workers.get(report.id);
  if (worker === undefined) {
    register(turn, owned, newWorker(turn, report, true));
    return;
  }
  const relation = relateIncarnation(worker.report, report.startWallMs);
  if (relation === INCARNATION_RELATION.NEXT) {
    replaceIncarnation(turn, owned, worker, report, true);
  }
  if (relation === INCARNATION_RELATION.EARLIER) {
    worker.earlierReport = report;
  }
  if (relation !== INCARNATION_RELATION.SAME) {
    return;
  }
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

/** Handles the removal of a worker's registration. Its runs count until its lease expires. */
export const workerDeregistered = (turn: Turn, owned: OwnedWork, id: WorkerId): void => {
  const worker = owned.workers.get(id);
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

/**
 * Returns how the incarnation that answered a poll relates to the known one. An incarnation that
 * answers a poll sent after the known one was registered is the next one, even if its start time is
 * earlier because the host's wall clock was set back in between.
 */
const answeringIncarnation = (
  worker: Worker,
  startWallMs: number | null,
  sentAtMs: number,
): IncarnationRelation => {
  const relation = relateIncarnation(worker.report, startWallMs);
  return relation === INCARNATION_RELATION.EARLIER && sentAtMs > worker.registeredAtMs
    ? INCARNATION_RELATION.NEXT
    : relation;
};

/** Handles a poll answer: the runs that a worker lists as running and as ended. */
export const workerPolled = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  const worker = answeringWorker(turn, owned, event, "poll");
  if (worker?.pollOrder !== event.order) {
    return;
  }
  worker.pollOrder = null;
  worker.nextPollAtMs = turn.nowMs + pollGapMs(turn.work);
  markWorkerChanged(owned, worker);
  const startWallMs = event.reportedStartWallMs ?? worker.report.startWallMs;
  const report = { ...worker.report, startWallMs, clockMs: event.clockMs };
  const relation = answeringIncarnation(worker, startWallMs, event.sentAtMs);
  if (relation !== INCARNATION_RELATION.SAME) {
    logOtherIncarnation(turn, worker, "poll", startWallMs);
  }
  if (relation === INCARNATION_RELATION.NEXT) {
    const { earlierReport } = worker;
    const reportCurrent = earlierReport?.startWallMs === startWallMs;
    replaceIncarnation(turn, owned, worker, reportCurrent ? earlierReport : report, reportCurrent);
  }
  if (relation !== INCARNATION_RELATION.SAME) {
    return;
  }
  worker.polledAtMs = Math.min(turn.nowMs, event.sentAtMs + worker.pollWaitMs);
  worker.aliveAfterMs = event.sentAtMs;
  leaseVerified(owned, worker);
  worker.listedRuns = event.running.length;
  updateReport(turn, worker, report);
  recordWorkerClock(turn, worker, event.clockMs);
  worker.unreachable = false;
  if (!worker.fenced && event.endsComplete) {
    worker.fenced = true;
    noteAnswered(owned, worker);
    // Only runs that the previous owner's lease row records can still be stopping there.
    const previousLease = owned.unfencedLeases.get(worker.report.id);
    if (previousLease !== undefined) {
      owned.newlyFenced.add(worker.report.id);
      expectPreviousLeases(turn, owned, worker, previousLease);
    }
    if (previousLease !== undefined && (previousLease.stopping || owned.unrecordedStopsPossible)) {
      worker.capacityKnownAtMs = turn.nowMs + turn.work.bounds.stopMs;
    }
    poolOf(owned, worker.report.pool).dirty = true;
  }
  for (const end of event.ends) {
    if (end.sequence > worker.seenSequence) {
      runEnded(turn, owned, worker, end);
      worker.seenSequence = end.sequence;
      owned.workersWithUnpersistedEnds.add(worker);
    }
  }
  for (const line of event.running) {
    runListed(turn, owned, worker, line, event);
  }
  logOvercommitment(turn, owned, worker, event.running);
  if (event.endsComplete) {
    abandonMissingRuns(turn, owned, worker, event);
  }
  paceFillers(turn, owned, worker);
  stopStalledRuns(turn, owned, worker);
};

/**
 * Handles a poll without an answer, or one that another incarnation answered at the worker's
 * address.
 */
export const workerPollFailed = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/lookFailed" }>,
): void => {
  const worker = answeringWorker(turn, owned, event, "poll");
  if (worker?.pollOrder !== event.order) {
    return;
  }
  worker.pollOrder = null;
  worker.acknowledgedSequence = 0;
  worker.unreachable = true;
  worker.leaseUnverified ||= worker.leaseSentAtMs !== null;
  worker.nextPollAtMs = turn.nowMs + LEASE.POLL_RETRY_MS;
  markWorkerChanged(owned, worker);
  logLine(turn, "warn", "worker.pollFailed", {
    worker: event.worker,
    pool: worker.report.pool,
    wrongIncarnation: event.wrongIncarnation,
    reason: event.reason,
    silentMs: worker.answeredAtMs === null ? null : Math.round(turn.nowMs - worker.answeredAtMs),
  });
  if (event.wrongIncarnation) {
    logOtherIncarnation(turn, worker, "poll", null);
    discardWorker(turn, owned, worker, "another incarnation has its address");
  }
};
