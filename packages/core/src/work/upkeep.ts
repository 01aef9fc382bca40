import type { HostId } from "@heatherferry/common";
import { HOST_ORDER_RESULT, HOSTS, RESERVATION } from "./constants.js";
import { emptyWorker } from "./emptying.js";
import type { WorkEvent } from "./events.js";
import { planHostOrder } from "./hostOrders.js";
import {
  findLife,
  isLife,
  isReservedFor,
  lifeOf,
  release,
  reserve,
  workerOn,
} from "./hostWorkers.js";
import { runsNothing } from "./room.js";
import type { HostOut, OwnedWork, Reservation, WaveWork, Worker } from "./state.js";
import { logLine, newHostOrderId, type Turn } from "./turn.js";
import type { HostOrderId } from "./types.js";

/**
 * Whether a worker is known to run nothing. What a previous owner left running there is unknown
 * until the worker has answered this owner.
 *
 * @param acceptStale - Whether a worker counts as idle although it does not answer at present.
 */
export const isEmptied = (owned: OwnedWork, worker: Worker, acceptStale: boolean): boolean =>
  !owned.unheard.has(worker.report.id) &&
  runsNothing(worker) &&
  (acceptStale || (worker.fenced && !worker.unreachable));

const waveReservation = (wave: WaveWork): Reservation => ({
  purpose: RESERVATION.UPKEEP,
  number: wave.request.wave,
});

/** @returns Whether a worker is reserved for a wave. */
export const isKeptFree = (wave: WaveWork, worker: Worker): boolean =>
  isReservedFor(worker, waveReservation(wave));

/**
 * Reserves a worker for the maintenance of its host and evicts its long-running items.
 *
 * @param late - Whether the wave is too late to wait for capacity on other workers.
 * @returns Whether the worker is reserved for this wave.
 */
export const keepFree = (
  turn: Turn,
  owned: OwnedWork,
  wave: WaveWork,
  worker: Worker,
  late: boolean,
): boolean => {
  const reserved = reserve(worker, waveReservation(wave));
  if (reserved) {
    emptyWorker(turn, owned, worker, "the host is due for maintenance", late);
  }
  return reserved;
};

/** Adopts hosts that a previous owner ordered to maintenance and that are still in it. */
export const adoptOut = (turn: Turn, owned: OwnedWork, wave: WaveWork): void => {
  for (const host of wave.request.hosts) {
    const inMaintenance = owned.hosts.get(host)?.inUpkeep === true;
    if (inMaintenance && !wave.doneHosts.has(host) && !wave.outHosts.has(host)) {
      const worker = lifeOf(workerOn(owned, host));
      wave.outHosts.set(host, {
        worker,
        orderedAtMs: turn.nowMs,
        orders: new Set(),
        back: {
          workersFromMs: turn.nowMs + turn.work.bounds.upkeepMs,
          listsFromMs: owned.hostViewAtMs ?? turn.nowMs,
        },
      });
    }
  }
};

/** @returns Whether a host is back from maintenance. */
const isBack = (
  turn: Turn,
  owned: OwnedWork,
  host: HostId,
  { worker: previousWorker, back }: HostOut,
): boolean => {
  if (back === null) {
    return false;
  }
  const worker = workerOn(owned, host);
  const listing = owned.hosts.get(host);
  const dueSinceMs = turn.nowMs - back.workersFromMs;
  const replaced = worker !== null && !isLife(worker, previousWorker) && dueSinceMs >= 0;
  // A repeated order for maintenance that is already done has no effect, so the worker stays.
  const unchanged = worker !== null && dueSinceMs > HOSTS.DONE_BEFORE_MS;
  // A host of the standby pool runs no worker; only the host list shows that it is back.
  const listedUp = listing?.up === true && (owned.hostViewAtMs ?? 0) > back.listsFromMs;
  const overdue = dueSinceMs > HOSTS.RETURN_MS && listing?.up !== false;
  return replaced || unchanged || listedUp || overdue;
};

/** Marks hosts that are back from maintenance as done. */
export const finishReturned = (turn: Turn, owned: OwnedWork, wave: WaveWork): void => {
  for (const [host, maintenance] of wave.outHosts) {
    const worker = workerOn(owned, host);
    if (isBack(turn, owned, host, maintenance)) {
      wave.outHosts.delete(host);
      wave.doneHosts.add(host);
      wave.dirty = true;
      release(worker, waveReservation(wave));
      release(findLife(owned, maintenance.worker), waveReservation(wave));
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
 * unanswered order may have brought about, a new record names it, since the next order ends it.
 */
const withOrder = (
  turn: Turn,
  current: HostOut | undefined,
  worker: Worker | null,
  order: HostOrderId,
): HostOut => {
  if (current !== undefined && (worker === null || isLife(worker, current.worker))) {
    current.orders.add(order);
    return current;
  }
  return {
    worker: lifeOf(worker),
    orderedAtMs: turn.nowMs,
    orders: new Set([...(current?.orders ?? []), order]),
    back: null,
  };
};

/** Orders a host to maintenance. Its worker must be idle. */
export const orderUpkeep = (
  turn: Turn,
  owned: OwnedWork,
  wave: WaveWork,
  host: HostId,
  worker: Worker | null,
): void => {
  const lastOrderAtMs = owned.hostOrders.get(host) ?? -Infinity;
  if (turn.nowMs - lastOrderAtMs < HOSTS.ORDER_RETRY_MS) {
    return;
  }
  const order = newHostOrderId(turn.work);
  wave.outHosts.set(host, withOrder(turn, wave.outHosts.get(host), worker, order));
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
export const repeatUpkeep = (turn: Turn, owned: OwnedWork, wave: WaveWork): void => {
  for (const [host, maintenance] of wave.outHosts) {
    const worker = workerOn(owned, host);
    if (maintenance.back !== null) {
      continue;
    }
    if (
      worker === null ||
      (keepFree(turn, owned, wave, worker, true) &&
        isEmptied(owned, worker, isLife(worker, maintenance.worker)))
    ) {
      orderUpkeep(turn, owned, wave, host, worker);
    }
  }
};

/**
 * Handles the answer to a maintenance order. Any of the orders sent to a host may be the one
 * that is carried out.
 */
export const upkeepAnswered = (
  turn: Turn,
  owned: OwnedWork,
  { order, host, result }: Extract<WorkEvent, { type: "power/orderAnswered" }>,
): void => {
  for (const wave of owned.waves.values()) {
    const maintenance = wave.outHosts.get(host);
    if (maintenance?.orders.has(order) !== true || maintenance.back !== null) {
      continue;
    }
    if (result === HOST_ORDER_RESULT.ACCEPTED) {
      // The host went down by now at the latest, whichever order caused it.
      const backFromMs = turn.nowMs + turn.work.bounds.upkeepMs;
      maintenance.back = { workersFromMs: backFromMs, listsFromMs: backFromMs };
    } else if (result !== HOST_ORDER_RESULT.UNANSWERED) {
      maintenance.orders.delete(order);
      if (maintenance.orders.size === 0) {
        wave.outHosts.delete(host);
      }
    }
  }
};
