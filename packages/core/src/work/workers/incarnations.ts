import { confirmedUntilMs } from "../ownership/ownershipConfirmation.js";
import { INCARNATION_RELATION, RUN_PHASE } from "../constants.js";
import type { IncarnationRelation, OrderTarget, WorkerTarget } from "../events.js";
import { logOtherIncarnation, type WorkerRequest } from "./otherIncarnation.js";
import type { OwnedWork, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { WorkerReport } from "../types.js";

/** Returns the target fields of a new poll of the incarnation that a registration names. */
export const targetNamedBy = (
  owned: OwnedWork,
  { id, address, startWallMs }: WorkerReport,
): OrderTarget => {
  owned.ordersSent += 1;
  return {
    worker: id,
    address,
    startWallMs,
    fence: owned.fence,
    order: owned.ordersSent,
    sendDeadlineMs: confirmedUntilMs(owned),
  };
};

/**
 * Returns the target fields of a new order or poll: the worker's known incarnation and a new order
 * number.
 */
export const targetOf = (owned: OwnedWork, worker: Worker): OrderTarget =>
  targetNamedBy(owned, worker.report);

/** Returns the target fields of an order that its answer repeats. */
export const echoedTarget = (order: WorkerTarget): WorkerTarget => ({
  worker: order.worker,
  address: order.address,
  startWallMs: order.startWallMs,
  fence: order.fence,
  order: order.order,
});

/**
 * Finds the worker that an answer is about.
 *
 * @param request - The kind of request that was answered.
 * @returns The worker; null if the request was sent under another fencing token, or to another
 *   incarnation or address than the worker has now, so that the answer says nothing about it.
 */
export const answeringWorker = (
  turn: Turn,
  owned: OwnedWork,
  answer: WorkerTarget,
  request: WorkerRequest,
): Worker | null => {
  const worker = owned.workers.get(answer.worker);
  if (worker === undefined) {
    return null;
  }
  const { address, startWallMs } = worker.report;
  const same =
    address === answer.address &&
    startWallMs === answer.startWallMs &&
    owned.fence === answer.fence;
  if (!same) {
    logOtherIncarnation(turn, worker, request, answer.startWallMs);
  }
  return same ? worker : null;
};

/**
 * Marks the ordered runs of a worker as unanswered: answers to start orders in flight no longer
 * count, so only polls show what runs.
 */
export const markOrdersUnanswered = (turn: Turn, worker: Worker): void => {
  for (const run of worker.runs.values()) {
    if (run.phase === RUN_PHASE.ORDERED) {
      run.unansweredAtMs ??= turn.nowMs;
    }
  }
};

/**
 * Compares the incarnation with a given start time to the known one.
 *
 * @param startWallMs - Wall-clock start time of the incarnation; null if unknown, which counts as
 *   the same.
 */
export const relateIncarnation = (
  known: WorkerReport,
  startWallMs: number | null,
): IncarnationRelation => {
  if (known.startWallMs === null || startWallMs === null || known.startWallMs === startWallMs) {
    return INCARNATION_RELATION.SAME;
  }
  return startWallMs > known.startWallMs ? INCARNATION_RELATION.NEXT : INCARNATION_RELATION.EARLIER;
};

/**
 * Replaces a worker's report. If its address or start time has changed, discards the poll in
 * flight, whose answer would describe the previous state.
 */
export const updateReport = (turn: Turn, worker: Worker, report: WorkerReport): void => {
  const { address, startWallMs } = worker.report;
  worker.report = { ...report, startWallMs: report.startWallMs ?? startWallMs };
  worker.coldUntilMs = turn.nowMs + report.coldRemainingMs;
  worker.capacityIndex?.update(worker);
  if (worker.report.address !== address || worker.report.startWallMs !== startWallMs) {
    worker.pollOrder = null;
    worker.nextPollAtMs = turn.nowMs;
    markOrdersUnanswered(turn, worker);
  }
};
