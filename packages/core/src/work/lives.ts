import { sureUntilMs } from "./certainty.js";
import { LIFE, RUN_PHASE } from "./constants.js";
import type { Life, OrderTarget, WorkerTarget } from "./events.js";
import { logOtherLife, type Asked } from "./otherLife.js";
import type { OwnedWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";
import type { WorkerReport } from "./types.js";

/** @returns How a new order or look names the life that it is for. */
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

/** @returns The part of an order that its answer carries back. */
export const targetIn = (order: WorkerTarget): WorkerTarget => ({
  worker: order.worker,
  address: order.address,
  bornWallMs: order.bornWallMs,
  fence: order.fence,
  order: order.order,
});

/**
 * @param asked - What the answer answers.
 * @returns The worker that an answer is about; null where it was asked under another ownership, or of
 *   another life or address than the worker has now, so that it says nothing of it.
 */
export const workerAsked = (
  turn: Turn,
  owned: OwnedWork,
  answer: WorkerTarget,
  asked: Asked,
): Worker | null => {
  const worker = owned.workers.get(answer.worker);
  if (worker === undefined) {
    return null;
  }
  const { address, bornWallMs } = worker.report;
  const same =
    address === answer.address && bornWallMs === answer.bornWallMs && owned.fence === answer.fence;
  if (!same) {
    logOtherLife(turn, worker, asked, answer.bornWallMs);
  }
  return same ? worker : null;
};

/** Answers to orders under way say nothing any more, so looks have to tell what runs. */
export const doubtOrders = (turn: Turn, worker: Worker): void => {
  for (const run of worker.runs.values()) {
    if (run.phase === RUN_PHASE.ORDERED) {
      run.unansweredAtMs ??= turn.nowMs;
    }
  }
};

/** @returns Which life of a worker something that tells its start speaks of. */
export const lifeBornAt = (known: WorkerReport, bornWallMs: number | null): Life => {
  if (known.bornWallMs === null || bornWallMs === null || known.bornWallMs === bornWallMs) {
    return LIFE.SAME;
  }
  return bornWallMs > known.bornWallMs ? LIFE.NEXT : LIFE.EARLIER;
};

/** Takes what a worker says of itself now; a look at what it was before tells nothing any more. */
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
