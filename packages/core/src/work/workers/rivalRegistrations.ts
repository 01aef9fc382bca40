import { INCARNATION_RELATION, LEASE } from "../constants.js";
import type { WorkEvent, WorkerTarget } from "../events.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import type { OwnedWork, RivalRegistration, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { WorkerReport } from "../types.js";
import { relateIncarnation, targetNamedBy } from "./incarnations.js";
import { logRefuted } from "./refutedRegistrations.js";
import { markWorkerChanged } from "./workerTimers.js";

/**
 * @packageDocumentation
 * Registrations under the id of a known worker that may be those of its next incarnation, or of
 * another writer. Both the known incarnation and the rival are polled. Until one of them has answered
 * a poll that was sent after the rival was read, the worker gets no starts, no longer lease and no
 * acknowledgement of run ends.
 */

/** Whether a registration names another incarnation or address than a worker's known ones. */
export const isRivalOf = ({ report: known }: Worker, report: WorkerReport): boolean =>
  relateIncarnation(known, report.startWallMs) !== INCARNATION_RELATION.SAME ||
  known.address !== report.address;

const namesSame = (one: WorkerReport, other: WorkerReport): boolean =>
  one.address === other.address && one.startWallMs === other.startWallMs;

/** Returns the registration of an incarnation that another one has replaced, as a refuted rival. */
export const refutedRival = ({ nowMs }: Turn, report: WorkerReport): RivalRegistration => ({
  report,
  readAtMs: nowMs,
  pollOrder: null,
  nextPollAtMs: Infinity,
  refuted: true,
});

/** Notes a rival registration of a worker. One that was read before keeps what is known of it. */
export const noteRival = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  report: WorkerReport,
): void => {
  if (worker.rival !== null && namesSame(worker.rival.report, report)) {
    worker.rival = { ...worker.rival, report };
    return;
  }
  worker.rival = {
    report,
    readAtMs: turn.nowMs,
    pollOrder: null,
    nextPollAtMs: turn.nowMs,
    refuted: false,
  };
  worker.nextPollAtMs = Math.min(worker.nextPollAtMs, turn.nowMs);
  markWorkerChanged(owned, worker);
};

/** Whether a rival registration leaves open which incarnation of a worker runs. */
export const hasOpenRival = ({ rival }: Worker): boolean => rival?.refuted === false;

/** Refutes the rival of a worker that has answered a poll sent after it was read. */
export const refuteRival = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  sentAtMs: number,
): void => {
  const { rival } = worker;
  if (rival?.refuted === false && sentAtMs > rival.readAtMs) {
    rival.refuted = true;
    logRefuted(turn, owned, rival.report, worker);
  }
};

/** Returns when the poll of a worker's rival is due; Infinity while none is needed. */
export const nextRivalPollMs = ({ rival }: Worker): number =>
  rival === null || rival.refuted || rival.pollOrder !== null ? Infinity : rival.nextPollAtMs;

/**
 * Polls the rival of a worker if that is due. The poll grants no lease and acknowledges no run ends.
 *
 * @returns Whether a poll was sent.
 */
export const pollRivalIfDue = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  const { rival } = worker;
  const isDue = turn.nowMs >= nextRivalPollMs(worker) && isOwnershipConfirmed(turn, owned);
  if (rival === null || !isDue) {
    return false;
  }
  const target = targetNamedBy(owned, rival.report);
  rival.pollOrder = target.order;
  turn.effects.push({
    type: "worker/look",
    untilClockMs: null,
    acknowledgedSequence: 0,
    waitMs: 0,
    ...target,
  });
  return true;
};

/**
 * Takes note of an answer to the poll of a rival, or of its failure.
 *
 * @returns The worker whose rival was polled; null if the poll was one of a known incarnation.
 */
export const rivalPollSettled = (
  turn: Turn,
  owned: OwnedWork,
  answer: WorkerTarget,
): { worker: Worker; rival: RivalRegistration } | null => {
  const worker = owned.workers.get(answer.worker);
  const rival = worker?.rival ?? null;
  if (worker === undefined || rival?.pollOrder !== answer.order || owned.fence !== answer.fence) {
    return null;
  }
  rival.pollOrder = null;
  rival.nextPollAtMs = turn.nowMs + LEASE.POLL_RETRY_MS;
  markWorkerChanged(owned, worker);
  return { worker, rival };
};

/** Whether an answer at the address of a rival is one of the incarnation that it names. */
export const isAnswerOfRival = (
  { report }: RivalRegistration,
  { reportedStartWallMs }: Extract<WorkEvent, { type: "worker/looked" }>,
): boolean => report.startWallMs === null || report.startWallMs === reportedStartWallMs;

/** Whether an answer at the address of a rival is one of the known incarnation, which runs there. */
export const isAnswerOfKnown = (
  { report: known }: Worker,
  { report }: RivalRegistration,
  { reportedStartWallMs }: Extract<WorkEvent, { type: "worker/looked" }>,
): boolean => known.address === report.address && known.startWallMs === reportedStartWallMs;
