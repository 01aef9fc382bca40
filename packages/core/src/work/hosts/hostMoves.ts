import type { HostId, PoolId } from "@heatherferry/common";
import { isStandby } from "../store/catalog.js";
import { HOST_TIMING } from "../constants.js";
import type { WorkEvent } from "../events.js";
import { releaseMovedWorker, planHostOrder, moveReservation } from "./hostOrders.js";
import {
  findIncarnation,
  hasEverAnswered,
  isIncarnation,
  incarnationOf,
  reserveWorker,
  markHostReclaimed,
  workerOn,
} from "./hostWorkers.js";
import type { HostMove, OwnedWork, Worker } from "../state.js";
import { logLine, newHostOrderId, type Turn } from "../turn.js";

/** A host that can move to another pool, and its idle worker; null if the host is off. */
export interface AvailableHost {
  readonly host: HostId;
  readonly worker: Worker | null;
}

/** Orders a host to another pool and reserves its worker, which gets no new work. */
export const moveHost = (
  turn: Turn,
  owned: OwnedWork,
  { host, worker }: AvailableHost,
  to: PoolId,
  reason: string,
): void => {
  const order = newHostOrderId(turn.work);
  if (worker !== null) {
    reserveWorker(worker, moveReservation(order));
  }
  owned.moves.set(host, {
    order,
    to,
    worker: incarnationOf(worker),
    orderedAtMs: turn.nowMs,
    accepted: false,
  });
  planHostOrder(turn, owned, { type: "power/move", order, host, pool: to, fence: owned.fence });
  logLine(turn, "info", "host.moving", {
    host,
    from: worker?.report.pool ?? owned.hosts.get(host)?.pool ?? null,
    to,
    reason,
    fence: Number(owned.fence),
  });
};

/**
 * Ends everything on the worker that a host ran before its move. If an earlier order already moved
 * the host, that worker belongs to the new pool and stays.
 */
const endOldWorker = (turn: Turn, owned: OwnedWork, { worker, to }: HostMove): void => {
  const oldWorker = findIncarnation(owned, worker);
  if (oldWorker !== null && oldWorker.report.pool !== to) {
    markHostReclaimed(turn, owned, oldWorker);
  }
};

/** Ends moves whose host has joined its pool or is off, and moves that have timed out. */
export const settleMoves = (turn: Turn, owned: OwnedWork): void => {
  for (const [host, move] of owned.moves) {
    const worker = workerOn(turn, owned, host);
    const waitedMs = turn.nowMs - move.orderedAtMs;
    const arrived =
      worker !== null &&
      hasEverAnswered(worker) &&
      !isIncarnation(worker, move.worker) &&
      worker.report.pool === move.to;
    const isOff =
      move.accepted && isStandby(turn.work, move.to) && waitedMs >= turn.work.bounds.moveMs;
    if (arrived || isOff || waitedMs > HOST_TIMING.RETURN_TIMEOUT_MS) {
      owned.moves.delete(host);
      if (arrived) {
        endOldWorker(turn, owned, move);
      } else {
        releaseMovedWorker(owned, move);
      }
    }
  }
};

/** Handles the answer to the latest move of a host; answers to earlier orders are ignored. */
export const handleMoveAnswer = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "power/orderAnswered" }>,
): void => {
  const move = owned.moves.get(event.host);
  if (move?.order !== event.order) {
    return;
  }
  if (event.result === "accepted") {
    move.accepted = true;
    endOldWorker(turn, owned, move);
    const listing = owned.hosts.get(event.host);
    if (listing !== undefined) {
      owned.hosts.set(event.host, { ...listing, pool: move.to });
    }
  } else if (event.result === "unanswered") {
    // The order may still be carried out, so the move stays open until the host reappears.
    owned.hostListPollSentAtMs = null;
  } else {
    owned.moves.delete(event.host);
    releaseMovedWorker(owned, move);
  }
};
