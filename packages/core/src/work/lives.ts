import { sureUntilMs } from "./certainty.js";
import { LIFE, RUN_PHASE } from "./constants.js";
import type { Life, OrderTarget, WorkerTarget } from "./events.js";
import { logOtherLife, type Asked } from "./otherLife.js";
import type { OwnedWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";
import type { WorkerReport } from "./types.js";

/**
 * Returns the target fields of a new order or poll: the worker's known incarnation and a new order
 * number.
 */
export const targetOf = (owned: OwnedWork, worker: Worker): OrderTarget => {
  const { id, address, bornWallMs } = worker.report;
  owned.ordersSent += 1;
  return {
    worker: id,
    address,
    bornWallMs,
    fence: owned.fence,
    order: owned.ordersSent,
    sendDeadlineMs: sureUntilMs(owned),
  };
};

/** Returns the target fields of an order that its answer repeats. */
export const targetIn = (order: WorkerTarget): WorkerTarget => ({
  worker: order.worker,
  address: order.address,
  bornWallMs: order.bornWallMs,
  fence: order.fence,
  order: order.order,
});

/**
 * Finds the worker that an answer is about.
 *
 * @param request - The kind of request that was answered.
 * @returns The worker; null if the request was sent under another fencing token, or to another
 *   incarnation or address than the worker has now, so that the answer tells nothing about it.
 */
export const workerAsked = (
  turn: Turn,
  owned: OwnedWork,
  answer: WorkerTarget,
  request: Asked,
): Worker | null => {
  const worker = owned.workers.get(answer.worker);
  if (worker === undefined) {
    return null;
  }
  const { address, bornWallMs } = worker.report;
  const same =
    address === answer.address && bornWallMs === answer.bornWallMs && owned.fence === answer.fence;
  if (!same) {
    logOtherLife(turn, worker, request, answer.bornWallMs);
  }
  return same ? worker : null;
};

/**
 * Marks the ordered runs of a worker as unanswered: answers to start orders in flight no longer
 * count, so polls have to tell what runs.
 */
export const doubtOrders = (turn: Turn, worker: Worker): void => {
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
export const lifeBornAt = (known: WorkerReport, startWallMs: number | null): Life => {
  if (known.bornWallMs === null || startWallMs === null || known.bornWallMs === startWallMs) {
    return LIFE.SAME;
  }
  return startWallMs > known.bornWallMs ? LIFE.NEXT : LIFE.EARLIER;
};

/**
 * Replaces a worker's report. If its address or start time has changed, discards the poll in
 * flight, whose answer would describe the previous state.
 */
export const updateReport = (turn: Turn, worker: Worker, report: WorkerReport): void => {
  const { address, bornWallMs } = worker.report;
  worker.report = { ...report, bornWallMs: report.bornWallMs ?? bornWallMs };
  worker.roomIndex?.changed(worker);
  if (worker.report.address !== address || worker.report.bornWallMs !== bornWallMs) {
    worker.lookOrder = null;
    worker.nextLookAtMs = turn.nowMs;
    doubtOrders(turn, worker);
  }
};
