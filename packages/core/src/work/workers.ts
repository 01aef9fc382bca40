import { LEASE, LIFE } from "./constants.js";
import type { Life, WorkEvent } from "./events.js";
import { bindHost, unbindHost } from "./hostWorkers.js";
import { noteClock } from "./leases.js";
import { lifeBornAt, updateReport, workerAsked } from "./lives.js";
import { logOtherLife } from "./otherLife.js";
import { paceFillers } from "./pacing.js";
import { poolOf } from "./pools.js";
import { runEnded, runSeen } from "./ends.js";
import { checkListedRoom } from "./listedRoom.js";
import { carryRuns, loseRuns } from "./lostRuns.js";
import type { OwnedWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import { endStrays } from "./strays.js";
import { dropUnseen } from "./unseen.js";
import { lookGapMs } from "./loopLag.js";
import { stopStalled } from "./stalled.js";
import { NO_ROOM } from "./room.js";
import { leaveOut, noteLeaving, takeIn } from "./workerSet.js";
import { workerChanged } from "./workerTimers.js";
import type { WorkerId, WorkerReport } from "./types.js";

const newWorker = (turn: Turn, report: WorkerReport, reportCurrent: boolean): Worker => ({
  report,
  enlistedAtMs: turn.nowMs,
  listed: true,
  kindKnown: reportCurrent,
  earlierReport: null,
  clock: report.clockMs === null ? null : { clockMs: report.clockMs, atMs: turn.nowMs },
  leaseEndsAtMs: null,
  leaseUntilClockMs: 0,
  lateLeaseUntilClockMs: null,
  fenced: false,
  lookOrder: null,
  lastLookAtMs: null,
  nextLookAtMs: turn.nowMs,
  answeredAtMs: null,
  unreachable: false,
  seenSequence: 0,
  durableSequence: 0,
  notedSequence: 0,
  lookedAtMs: null,
  listedRuns: 0,
  endsWithheld: false,
  runs: new Map(),
  promised: new Set(),
  strays: new Map(),
  usedCpuMilli: 0,
  usedMemoryMb: 0,
  usedGpus: 0,
  roomIndex: null,
  endingUse: { ...NO_ROOM },
  lastingUse: { ...NO_ROOM },
  endingHosts: 0,
  lastingRuns: 0,
  idleSinceMs: turn.nowMs,
  busySinceMs: turn.nowMs,
  tailsCalmSinceMs: 0,
  failuresInRow: 0,
  restsUntilMs: 0,
  roomKnownAtMs: 0,
  reservedFor: null,
  departed: false,
});

const discardWorker = (turn: Turn, owned: OwnedWork, worker: Worker, reason: string): void => {
  leaveOut(owned, worker);
  loseRuns(turn, owned, worker, reason);
  endStrays(owned, worker);
  unbindHost(owned, worker);
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
  carryRuns(turn, owned, worker, replacement);
  discardWorker(turn, owned, worker, "the worker restarted");
  register(turn, owned, replacement);
};

const register = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const { report } = worker;
  takeIn(owned, worker);
  bindHost(owned, worker);
  poolOf(owned, report.pool).dirty = true;
  logLine(turn, "info", "worker.registered", {
    worker: report.id,
    pool: report.pool,
    address: report.address,
    startWallMs: report.bornWallMs,
    draining: report.draining,
  });
};

/** Handles a worker's registration, whether new or changed. */
export const workerReported = (turn: Turn, owned: OwnedWork, report: WorkerReport): void => {
  const worker = owned.workers.get(report.id);
  if (worker === undefined) {
    register(turn, owned, newWorker(turn, report, true));
    return;
  }
  const relation = lifeBornAt(worker.report, report.bornWallMs);
  if (relation === LIFE.NEXT) {
    replaceIncarnation(turn, owned, worker, report, true);
  }
  if (relation === LIFE.EARLIER) {
    worker.earlierReport = report;
  }
  if (relation !== LIFE.SAME) {
    return;
  }
  const changed = worker.report.draining !== report.draining || !worker.listed;
  if (changed) {
    logLine(turn, "info", "worker.changed", {
      worker: report.id,
      pool: report.pool,
      draining: report.draining,
      wasRegistered: worker.listed,
    });
  }
  unbindHost(owned, worker);
  updateReport(turn, worker, report);
  worker.listed = true;
  worker.kindKnown = true;
  bindHost(owned, worker);
  workerChanged(owned, worker);
  noteLeaving(owned, worker);
  poolOf(owned, report.pool).dirty ||= changed;
};

/** Handles the removal of a worker's registration. Its runs count until its lease expires. */
export const workerUnlisted = (turn: Turn, owned: OwnedWork, id: WorkerId): void => {
  const worker = owned.workers.get(id);
  if (worker?.listed === true) {
    worker.listed = false;
    unbindHost(owned, worker);
    workerChanged(owned, worker);
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
): Life => {
  const relation = lifeBornAt(worker.report, startWallMs);
  return relation === LIFE.EARLIER && sentAtMs > worker.enlistedAtMs ? LIFE.NEXT : relation;
};

/** Handles a poll answer: the runs that a worker lists as running and as ended. */
export const workerLooked = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  const worker = workerAsked(turn, owned, event, "poll");
  if (worker?.lookOrder !== event.order) {
    return;
  }
  worker.lookOrder = null;
  worker.nextLookAtMs = turn.nowMs + lookGapMs(turn.work);
  workerChanged(owned, worker);
  const bornWallMs = event.seenBornWallMs ?? worker.report.bornWallMs;
  const report = { ...worker.report, bornWallMs, clockMs: event.clockMs };
  const relation = answeringIncarnation(worker, bornWallMs, event.sentAtMs);
  if (relation !== LIFE.SAME) {
    logOtherLife(turn, worker, "poll", bornWallMs);
  }
  if (relation === LIFE.NEXT) {
    const { earlierReport } = worker;
    const reportCurrent = earlierReport?.bornWallMs === bornWallMs;
    replaceIncarnation(turn, owned, worker, reportCurrent ? earlierReport : report, reportCurrent);
  }
  if (relation !== LIFE.SAME) {
    return;
  }
  worker.lookedAtMs = turn.nowMs;
  worker.listedRuns = event.running.length;
  updateReport(turn, worker, report);
  noteClock(turn, worker, event.clockMs);
  worker.unreachable = false;
  if (!worker.fenced && event.endsComplete) {
    worker.fenced = true;
    // Only runs that the previous owner's lease row records can still be stopping there.
    const previousLease = owned.unheard.get(worker.report.id);
    if (previousLease !== undefined) {
      owned.newlyFenced.add(worker.report.id);
    }
    if (previousLease !== undefined && (previousLease.stopping || owned.stopsUnknown)) {
      worker.roomKnownAtMs = turn.nowMs + turn.work.bounds.stopMs;
    }
    poolOf(owned, worker.report.pool).dirty = true;
  }
  for (const end of event.ends) {
    if (end.sequence > worker.seenSequence) {
      runEnded(turn, owned, worker, end);
      worker.seenSequence = end.sequence;
      owned.endsToWrite.add(worker);
    }
  }
  for (const line of event.running) {
    runSeen(turn, owned, worker, line, event);
  }
  checkListedRoom(turn, owned, worker, event.running);
  if (event.endsComplete) {
    dropUnseen(turn, owned, worker, event);
  }
  paceFillers(turn, owned, worker);
  stopStalled(turn, owned, worker);
};

/**
 * Handles a poll without an answer, or one that another incarnation answered at the worker's
 * address.
 */
export const workerLookFailed = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/lookFailed" }>,
): void => {
  const worker = workerAsked(turn, owned, event, "poll");
  if (worker?.lookOrder !== event.order) {
    return;
  }
  worker.lookOrder = null;
  worker.notedSequence = 0;
  worker.unreachable = true;
  worker.nextLookAtMs = turn.nowMs + LEASE.LOOK_RETRY_MS;
  workerChanged(owned, worker);
  logLine(turn, "warn", "worker.pollFailed", {
    worker: event.worker,
    pool: worker.report.pool,
    wrongIncarnation: event.wrongLife,
    reason: event.reason,
    silentMs: worker.answeredAtMs === null ? null : Math.round(turn.nowMs - worker.answeredAtMs),
  });
  if (event.wrongLife) {
    logOtherLife(turn, worker, "poll", null);
    discardWorker(turn, owned, worker, "another incarnation has its address");
  }
};
