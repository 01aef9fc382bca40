import { LEASE, INCARNATION_RELATION } from "../constants.js";
import type { IncarnationRelation, WorkEvent } from "../events.js";
import { hasEverAnswered } from "../hosts/hostWorkers.js";
import { poolOf } from "../hosts/pools.js";
import { pollGapMs } from "../loopLag.js";
import type { OwnedWork, RivalRegistration, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { WorkerReport } from "../types.js";
import { expectPreviousLeases, leaseVerified } from "./earlierLeases.js";
import { answeringWorker, relateIncarnation, updateReport } from "./incarnations.js";
import { recordWorkerClock } from "./leases.js";
import { abandonMissingRuns } from "./missingRuns.js";
import { logOtherIncarnation } from "./otherIncarnation.js";
import { logOvercommitment } from "./overcommitment.js";
import { paceFillers } from "./pacing.js";
import { logRefuted, logRefutedOnHost } from "./refutedRegistrations.js";
import {
  isAnswerOfKnown,
  isAnswerOfRival,
  refutedRival,
  refuteRival,
  rivalPollSettled,
} from "./rivalRegistrations.js";
import { runEnded, runListed } from "./runEnds.js";
import { stopStalledRuns } from "./stalledRuns.js";
import { applyReport, discardWorker, replaceIncarnation } from "./workers.js";
import { noteAnswered } from "./workerSet.js";
import { markWorkerChanged } from "./workerTimers.js";

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

/**
 * Replaces a worker by its rival, which has answered, and lets the answer count as one of the
 * replacement. The registration of the incarnation before, which may still arrive, counts no more.
 */
const adoptRival = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  { report, readAtMs }: RivalRegistration,
  order: number,
): void => {
  const previous = worker.report;
  let adopted = worker;
  if (relateIncarnation(previous, report.startWallMs) === INCARNATION_RELATION.SAME) {
    applyReport(turn, owned, worker, report);
  } else {
    adopted = replaceIncarnation(turn, owned, worker, report, true, readAtMs);
  }
  adopted.rival = refutedRival(turn, previous);
  adopted.pollOrder = order;
  if (!hasEverAnswered(worker)) {
    logRefuted(turn, owned, previous, adopted);
  }
};

/** Handles an answer at the address of a worker's rival. */
const rivalAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  const settled = rivalPollSettled(turn, owned, event);
  if (settled === null) {
    return;
  }
  const { worker, rival } = settled;
  if (isAnswerOfRival(rival, event)) {
    adoptRival(turn, owned, worker, rival, event.order);
  } else if (isAnswerOfKnown(worker, rival, event)) {
    refuteRival(turn, owned, worker, event.sentAtMs);
  }
};

/** Replaces a worker that has answered as its next incarnation. */
const replaceAnswering = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  report: WorkerReport,
): void => {
  const { rival } = worker;
  const { startWallMs, address } = report;
  const isNamed = rival?.report.startWallMs === startWallMs && rival.report.address === address;
  const replacement = replaceIncarnation(
    turn,
    owned,
    worker,
    isNamed ? rival.report : report,
    isNamed,
  );
  replacement.rival = isNamed ? refutedRival(turn, worker.report) : rival;
};

/** Takes note that a worker accepts no orders of previous owners any more. */
const fencingConfirmed = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  worker.fenced = true;
  owned.refutedRegistrations.delete(worker.report.id);
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
};

/** Handles a poll answer: the runs that a worker lists as running and as ended. */
export const workerPolled = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  rivalAnswered(turn, owned, event);
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
    replaceAnswering(turn, owned, worker, report);
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
    fencingConfirmed(turn, owned, worker);
  }
  refuteRival(turn, owned, worker, event.sentAtMs);
  logRefutedOnHost(turn, owned, worker);
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
  rivalPollSettled(turn, owned, event);
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
    if (worker.rival?.refuted === false) {
      replaceIncarnation(turn, owned, worker, worker.rival.report, true);
    } else {
      discardWorker(turn, owned, worker, "another incarnation has its address");
    }
  }
};
