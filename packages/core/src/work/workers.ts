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

const newWorker = (turn: Turn, report: WorkerReport, kindKnown: boolean): Worker => ({
  report,
  enlistedAtMs: turn.nowMs,
  listed: true,
  kindKnown,
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

const forgetWorker = (turn: Turn, owned: OwnedWork, worker: Worker, why: string): void => {
  leaveOut(owned, worker);
  loseRuns(turn, owned, worker, why);
  endStrays(owned, worker);
  unbindHost(owned, worker);
};

/**
 * The worker started again under its id.
 *
 * @param kindKnown - Whether the report is of the new life, or of the one before but for its start.
 */
const replaceLife = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  report: WorkerReport,
  kindKnown: boolean,
): void => {
  const made = newWorker(turn, report, kindKnown);
  carryRuns(turn, owned, worker, made);
  forgetWorker(turn, owned, worker, "the worker started again");
  enlist(turn, owned, made);
};

const enlist = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const { report } = worker;
  takeIn(owned, worker);
  bindHost(owned, worker);
  poolOf(owned, report.pool).dirty = true;
  logLine(turn, "info", "worker.listed", {
    worker: report.id,
    pool: report.pool,
    address: report.address,
    bornWallMs: report.bornWallMs,
    draining: report.draining,
  });
};

/** Takes a worker's entry. */
export const workerReported = (turn: Turn, owned: OwnedWork, report: WorkerReport): void => {
  const worker = owned.workers.get(report.id);
  if (worker === undefined) {
    enlist(turn, owned, newWorker(turn, report, true));
    return;
  }
  const life = lifeBornAt(worker.report, report.bornWallMs);
  if (life === LIFE.NEXT) {
    replaceLife(turn, owned, worker, report, true);
  }
  if (life === LIFE.EARLIER) {
    worker.earlierReport = report;
  }
  if (life !== LIFE.SAME) {
    return;
  }
  const changed = worker.report.draining !== report.draining || !worker.listed;
  if (changed) {
    logLine(turn, "info", "worker.changed", {
      worker: report.id,
      pool: report.pool,
      draining: report.draining,
      wasListed: worker.listed,
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

/** A worker's entry is gone; what runs there counts until its lease ends. */
export const workerUnlisted = (turn: Turn, owned: OwnedWork, id: WorkerId): void => {
  const worker = owned.workers.get(id);
  if (worker?.listed === true) {
    worker.listed = false;
    unbindHost(owned, worker);
    workerChanged(owned, worker);
    logLine(turn, "info", "worker.unlisted", {
      worker: id,
      pool: worker.report.pool,
      runs: worker.runs.size,
    });
  }
};

/**
 * A life that answers what was sent after the known one was listed came after it, also where its
 * host's time of day has stepped back in between.
 *
 * @returns Which life of a worker has answered a look.
 */
const lifeSeen = (worker: Worker, bornWallMs: number | null, sentAtMs: number): Life => {
  const life = lifeBornAt(worker.report, bornWallMs);
  return life === LIFE.EARLIER && sentAtMs > worker.enlistedAtMs ? LIFE.NEXT : life;
};

/** Takes a worker's lists of what runs and what has ended. */
export const workerLooked = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  const worker = workerAsked(turn, owned, event, "look");
  if (worker?.lookOrder !== event.order) {
    return;
  }
  worker.lookOrder = null;
  worker.nextLookAtMs = turn.nowMs + lookGapMs(turn.work);
  workerChanged(owned, worker);
  const bornWallMs = event.seenBornWallMs ?? worker.report.bornWallMs;
  const report = { ...worker.report, bornWallMs, clockMs: event.clockMs };
  const life = lifeSeen(worker, bornWallMs, event.sentAtMs);
  if (life !== LIFE.SAME) {
    logOtherLife(turn, worker, "look", bornWallMs);
  }
  if (life === LIFE.NEXT) {
    const { earlierReport } = worker;
    const kindKnown = earlierReport?.bornWallMs === bornWallMs;
    replaceLife(turn, owned, worker, kindKnown ? earlierReport : report, kindKnown);
  }
  if (life !== LIFE.SAME) {
    return;
  }
  worker.lookedAtMs = turn.nowMs;
  worker.listedRuns = event.running.length;
  updateReport(turn, worker, report);
  noteClock(turn, worker, event.clockMs);
  worker.unreachable = false;
  if (!worker.fenced && event.endsComplete) {
    worker.fenced = true;
    // Where the owner before had nothing running, nothing can be under way to its stop.
    const before = owned.unheard.get(worker.report.id);
    if (before !== undefined) {
      owned.newlyFenced.add(worker.report.id);
    }
    if (before !== undefined && (before.stopping || owned.stopsUnknown)) {
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

/** A look had no answer, or another life answered at the address. */
export const workerLookFailed = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/lookFailed" }>,
): void => {
  const worker = workerAsked(turn, owned, event, "look");
  if (worker?.lookOrder !== event.order) {
    return;
  }
  worker.lookOrder = null;
  worker.notedSequence = 0;
  worker.unreachable = true;
  worker.nextLookAtMs = turn.nowMs + LEASE.LOOK_RETRY_MS;
  workerChanged(owned, worker);
  logLine(turn, "warn", "worker.lookFailed", {
    worker: event.worker,
    pool: worker.report.pool,
    wrongLife: event.wrongLife,
    reason: event.reason,
    silentMs: worker.answeredAtMs === null ? null : Math.round(turn.nowMs - worker.answeredAtMs),
  });
  if (event.wrongLife) {
    logOtherLife(turn, worker, "look", null);
    forgetWorker(turn, owned, worker, "another life has its address");
  }
};
