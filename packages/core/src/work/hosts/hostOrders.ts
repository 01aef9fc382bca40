import { RESERVATION } from "../constants.js";
import { confirmedUntilMs } from "../ownership/ownershipConfirmation.js";
import { findIncarnation, isIncarnation, releaseWorker, workerOn } from "./hostWorkers.js";
import { isHostEvacuated } from "./hosts.js";
import { runsNothing } from "../workers/workerResources.js";
import type { HostMove, HostOrder, HostMaintenance, OwnedWork, Reservation } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { HostOrderId } from "../types.js";

/** Returns the reservation of a worker whose host is to be moved. */
export const moveReservation = (order: HostOrderId): Reservation => ({
  purpose: RESERVATION.MOVE,
  number: order,
});

/** Releases the worker that is reserved for a move. */
export const releaseMovedWorker = (owned: OwnedWork, { worker, order }: HostMove): void => {
  releaseWorker(findIncarnation(owned, worker), moveReservation(order));
};

/**
 * Plans an order. It is sent once the owner's row records the host, so that the next owner knows of
 * the order.
 */
export const planHostOrder = (turn: Turn, owned: OwnedWork, order: HostOrder): void => {
  owned.hostOrders.set(order.host, turn.nowMs);
  owned.plannedHostOrders.push(order);
};

const moveOf = (owned: OwnedWork, { host, order }: HostOrder): HostMove | null => {
  const move = owned.moves.get(host);
  return move?.order === order ? move : null;
};

const maintenanceOf = (owned: OwnedWork, order: HostOrder): HostMaintenance | null => {
  const wave = order.type === "power/upkeep" ? owned.waves.get(order.wave) : undefined;
  const maintenance = wave?.hostsInMaintenance.get(order.host);
  return maintenance?.orderIds.has(order.order) === true ? maintenance : null;
};

/**
 * Whether an order may still be sent: the worker of its host may have changed in the
 * seconds since the order was planned, and an evacuation of its zone may have begun.
 */
const isStillValid = (turn: Turn, owned: OwnedWork, order: HostOrder): boolean => {
  const worker = workerOn(turn, owned, order.host);
  if (order.type === "power/move") {
    if (isHostEvacuated(turn, owned, order.host)) {
      return false;
    }
    const move = moveOf(owned, order);
    return worker === null
      ? move !== null && move.worker === null
      : isIncarnation(worker, move?.worker ?? null) && runsNothing(worker);
  }
  const maintenance = maintenanceOf(owned, order);
  return (
    maintenance !== null &&
    maintenance.expectedReturn === null &&
    (worker === null || (isIncarnation(worker, maintenance.worker) && runsNothing(worker)))
  );
};

const dropOrder = (turn: Turn, owned: OwnedWork, order: HostOrder, reason: string): void => {
  const move = moveOf(owned, order);
  const maintenance = maintenanceOf(owned, order);
  if (move !== null) {
    owned.moves.delete(order.host);
    releaseMovedWorker(owned, move);
  }
  maintenance?.orderIds.delete(order.order);
  if (
    order.type === "power/upkeep" &&
    maintenance?.orderIds.size === 0 &&
    maintenance.expectedReturn === null
  ) {
    owned.waves.get(order.wave)?.hostsInMaintenance.delete(order.host);
  }
  logLine(turn, "info", "host.orderDropped", { host: order.host, order: order.order, reason });
};

/** Sends planned orders whose hosts the owner's row now records. */
export const sendHostOrders = (
  turn: Turn,
  owned: OwnedWork,
  orders: readonly HostOrder[],
): void => {
  for (const order of orders) {
    if (isStillValid(turn, owned, order)) {
      owned.hostOrders.set(order.host, turn.nowMs);
      turn.effects.push({ ...order, sendDeadlineMs: confirmedUntilMs(owned) });
    } else {
      dropOrder(turn, owned, order, "its worker has changed or is busy, or its zone is evacuated");
    }
  }
};

/** Drops planned orders, with their reservations, when ownership is no longer confirmed. */
export const dropHostOrders = (
  turn: Turn,
  owned: OwnedWork,
  orders: readonly HostOrder[],
): void => {
  for (const order of orders) {
    dropOrder(turn, owned, order, "ownership is not confirmed");
  }
};
