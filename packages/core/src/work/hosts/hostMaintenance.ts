import type { HostId } from "@heatherferry/common";
import { HOST_ORDER_RESULT, HOST_TIMING, RESERVATION } from "../constants.js";
import { evictLongRunning } from "../workers/eviction.js";
import type { WorkEvent } from "../events.js";
import { planHostOrder } from "./hostOrders.js";
import {
  findIncarnation,
  hasEverAnswered,
  isIncarnation,
  isReservedFor,
  incarnationOf,
  releaseWorker,
  reserveWorker,
  workerOn,
} from "./hostWorkers.js";
import { runsNothing } from "../workers/workerResources.js";
import type { HostMaintenance, OwnedWork, Reservation, MaintenanceWave, Worker } from "../state.js";
import { logLine, newHostOrderId, type Turn } from "../turn.js";
import type { HostOrderId } from "../types.js";

/**
 * Whether a worker is known to run nothing. What a previous owner left running there is unknown
 * until the worker has answered this owner, and so is whether its host runs it at all.
 *
 * @param acceptStale - Whether a worker counts as idle although it does not answer at present.
 */
export const isKnownIdle = (owned: OwnedWork, worker: Worker, acceptStale: boolean): boolean =>
  !owned.unfencedLeases.has(worker.report.id) &&
  runsNothing(worker) &&
  hasEverAnswered(worker) &&
  (acceptStale || (worker.fenced && !worker.unreachable));

const waveReservation = (wave: MaintenanceWave): Reservation => ({
  purpose: RESERVATION.MAINTENANCE,
  number: wave.request.wave,
});

/** Whether a worker is reserved for a wave. */
export const isReservedForWave = (wave: MaintenanceWave, worker: Worker): boolean =>
  isReservedFor(worker, waveReservation(wave));

/**
 * Reserves a worker for the maintenance of its host and evicts its long-running items.
 *
 * @param late - Whether the wave is too late to wait for capacity on other workers.
 * @returns Whether the worker is reserved for this wave.
 */
export const reserveForWave = (
  turn: Turn,
  owned: OwnedWork,
  wave: MaintenanceWave,
  worker: Worker,
  late: boolean,
): boolean => {
  const reserved = reserveWorker(worker, waveReservation(wave));
  if (reserved) {
    evictLongRunning(turn, owned, worker, "the host is due for maintenance", late);
  }
  return reserved;
};

/** Whether another open wave may be what a host of a wave is in maintenance for. */
const isNeededElsewhere = (owned: OwnedWork, wave: MaintenanceWave, host: HostId): boolean =>
  [...owned.waves.values()].some(
    (other) =>
      other !== wave &&
      !other.completed &&
      !other.doneHosts.has(host) &&
      other.request.hosts.includes(host),
  );

/** Whether a host is in maintenance for a wave of this owner. */
const isInWave = (owned: OwnedWork, host: HostId): boolean =>
  [...owned.waves.values()].some(({ hostsInMaintenance }) => hostsInMaintenance.has(host));

/**
 * Whether a host is in maintenance by an order of a previous owner that may belong to several waves.
 * The platform does not tell which, so the host is ordered again once it is back; for the wave that
 * it has had, this has no effect.
 */
export const isInUnknownMaintenance = (owned: OwnedWork, host: HostId): boolean =>
  owned.inheritedMaintenance.has(host) && !isInWave(owned, host);

/**
 * Adopts hosts that a previous owner ordered to maintenance and that are still in it, if it can only
 * have been for this wave.
 */
export const adoptHostsInMaintenance = (
  turn: Turn,
  owned: OwnedWork,
  wave: MaintenanceWave,
): void => {
  for (const host of wave.request.hosts) {
    const isOurs =
      isInUnknownMaintenance(owned, host) &&
      !wave.doneHosts.has(host) &&
      !isNeededElsewhere(owned, wave, host);
    if (isOurs) {
      const worker = incarnationOf(workerOn(turn, owned, host));
      wave.hostsInMaintenance.set(host, {
        worker,
        orderedAtMs: turn.nowMs,
        orderIds: new Set(),
        expectedReturn: {
          trustWorkersFromMs: turn.nowMs + turn.work.bounds.maintenanceMs,
          trustListsFromMs: owned.hostListRequestedAtMs ?? turn.nowMs,
        },
      });
    }
  }
};

/** Whether a host is back from maintenance. */
const isBack = (
  turn: Turn,
  owned: OwnedWork,
  host: HostId,
  { worker: previousWorker, expectedReturn }: HostMaintenance,
): boolean => {
  if (expectedReturn === null) {
    return false;
  }
  const worker = workerOn(turn, owned, host);
  const listing = owned.hosts.get(host);
  const dueSinceMs = turn.nowMs - expectedReturn.trustWorkersFromMs;
  const answered = worker !== null && hasEverAnswered(worker);
  const replaced = answered && !isIncarnation(worker, previousWorker) && dueSinceMs >= 0;
  // A repeated order for maintenance that is already done has no effect, so the worker stays.
  const unchanged = answered && dueSinceMs > HOST_TIMING.UNCHANGED_WORKER_TIMEOUT_MS;
  // A host of the standby pool runs no worker; only the host list shows that it is back.
  const listedUp =
    listing?.up === true && (owned.hostListRequestedAtMs ?? 0) > expectedReturn.trustListsFromMs;
  const overdue = dueSinceMs > HOST_TIMING.RETURN_TIMEOUT_MS && listing?.up !== false;
  return replaced || unchanged || listedUp || overdue;
};

/** Marks hosts that are back from maintenance as done. */
export const completeReturnedHosts = (
  turn: Turn,
  owned: OwnedWork,
  wave: MaintenanceWave,
): void => {
  for (const [host, maintenance] of wave.hostsInMaintenance) {
    const worker = workerOn(turn, owned, host);
    if (isBack(turn, owned, host, maintenance)) {
      wave.hostsInMaintenance.delete(host);
      wave.doneHosts.add(host);
      wave.dirty = true;
      releaseWorker(worker, waveReservation(wave));
      releaseWorker(findIncarnation(owned, maintenance.worker), waveReservation(wave));
      logLine(turn, "info", "wave.hostDone", {
        wave: wave.request.wave,
        host,
        afterMs: Math.round(turn.nowMs - maintenance.orderedAtMs),
      });
    }
  }
};

/**
 * Adds an order to the maintenance of a host. If the host runs another worker by now, which an
 * unanswered order may have brought about, a new record refers to it, since the next order ends it.
 */
const withOrder = (
  turn: Turn,
  current: HostMaintenance | undefined,
  worker: Worker | null,
  order: HostOrderId,
): HostMaintenance => {
  if (current !== undefined && (worker === null || isIncarnation(worker, current.worker))) {
    current.orderIds.add(order);
    return current;
  }
  return {
    worker: incarnationOf(worker),
    orderedAtMs: turn.nowMs,
    orderIds: new Set([...(current?.orderIds ?? []), order]),
    expectedReturn: null,
  };
};

/** Orders a host to maintenance. Its worker must be idle. */
export const orderMaintenance = (
  turn: Turn,
  owned: OwnedWork,
  wave: MaintenanceWave,
  host: HostId,
  worker: Worker | null,
): void => {
  const lastOrderAtMs = owned.hostOrders.get(host) ?? -Infinity;
  if (turn.nowMs - lastOrderAtMs < HOST_TIMING.ORDER_RETRY_INTERVAL_MS) {
    return;
  }
  const order = newHostOrderId(turn.work);
  wave.hostsInMaintenance.set(
    host,
    withOrder(turn, wave.hostsInMaintenance.get(host), worker, order),
  );
  planHostOrder(turn, owned, {
    type: "power/upkeep",
    order,
    host,
    wave: wave.request.wave,
    fence: owned.fence,
  });
  logLine(turn, "info", "wave.upkeepOrdered", {
    wave: wave.request.wave,
    host,
    worker: worker?.report.id ?? null,
    fence: Number(owned.fence),
  });
};

/** Repeats unconfirmed maintenance orders, once the worker that the host now runs is idle. */
export const repeatMaintenanceOrders = (
  turn: Turn,
  owned: OwnedWork,
  wave: MaintenanceWave,
): void => {
  for (const [host, maintenance] of wave.hostsInMaintenance) {
    const worker = workerOn(turn, owned, host);
    if (maintenance.expectedReturn !== null) {
      continue;
    }
    if (
      worker === null ||
      (reserveForWave(turn, owned, wave, worker, true) &&
        isKnownIdle(owned, worker, isIncarnation(worker, maintenance.worker)))
    ) {
      orderMaintenance(turn, owned, wave, host, worker);
    }
  }
};

/**
 * Handles the answer to a maintenance order. Orders are repeated until one is confirmed, so any of
 * the orders sent to a host may be the one that is carried out. Once all of them have been
 * rejected (an order without an answer has not), the host no longer counts as in maintenance.
 */
export const handleMaintenanceAnswer = (
  turn: Turn,
  owned: OwnedWork,
  { order, host, result }: Extract<WorkEvent, { type: "power/orderAnswered" }>,
): void => {
  for (const wave of owned.waves.values()) {
    const maintenance = wave.hostsInMaintenance.get(host);
    if (maintenance?.orderIds.has(order) !== true || maintenance.expectedReturn !== null) {
      continue;
    }
    if (result === HOST_ORDER_RESULT.ACCEPTED) {
      // The host went down by now at the latest, whichever order caused it.
      const backFromMs = turn.nowMs + turn.work.bounds.maintenanceMs;
      maintenance.expectedReturn = { trustWorkersFromMs: backFromMs, trustListsFromMs: backFromMs };
    } else if (result !== HOST_ORDER_RESULT.UNANSWERED) {
      maintenance.orderIds.delete(order);
      if (maintenance.orderIds.size === 0) {
        wave.hostsInMaintenance.delete(host);
      }
    }
  }
};
