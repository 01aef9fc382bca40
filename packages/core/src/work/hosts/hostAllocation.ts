import type { HostId, PoolId } from "@heatherferry/common";
import { decayArrivals } from "./arrivals.js";
import { isStandby } from "../store/catalog.js";
import { HOST_TIMING, HOST_ALLOCATION } from "../constants.js";
import {
  poolDemand,
  isSchedulable,
  logDemand,
  missingHosts,
  spareHosts,
  type PoolDemand,
} from "./demand.js";
import { balanceHosts, isEmpty, settleDrains } from "./hostDrains.js";
import { isHostEvacuated, requestHostList, mayOrderHost } from "./hosts.js";
import { workerOn } from "./hostWorkers.js";
import { moveHost, settleMoves, type AvailableHost } from "./hostMoves.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { poolOf } from "./pools.js";
import type { OwnedWork, Worker } from "../state.js";
import { tickAdmissionFigures } from "../placement/admissionFigures.js";
import type { Turn } from "../turn.js";

const isHostAvailable = (turn: Turn, owned: OwnedWork, host: HostId): boolean => {
  if (
    !mayOrderHost(turn, owned, host) ||
    isHostEvacuated(turn, owned, host) ||
    owned.moves.has(host) ||
    owned.drains.has(host) ||
    turn.nowMs - (owned.hostOrders.get(host) ?? -Infinity) < HOST_TIMING.ORDER_RETRY_INTERVAL_MS
  ) {
    return false;
  }
  for (const wave of owned.waves.values()) {
    const isPending =
      !wave.completed && wave.request.hosts.includes(host) && !wave.doneHosts.has(host);
    if (isPending && wave.hostsInMaintenance.has(host)) {
      return false;
    }
  }
  return true;
};

/** Returns hosts that are off and can be allocated at once. */
const standbyHosts = (turn: Turn, owned: OwnedWork): AvailableHost[] =>
  [...owned.hosts.values()]
    .filter(
      ({ host, pool, up }) =>
        up &&
        isStandby(turn.work, pool) &&
        workerOn(turn, owned, host) === null &&
        isHostAvailable(turn, owned, host),
    )
    .map(({ host }) => ({ host, worker: null }));

const isIdle = (turn: Turn, owned: OwnedWork, worker: Worker, idleMs: number): boolean =>
  isSchedulable(turn, owned, worker) &&
  worker.fenced &&
  isEmpty(worker) &&
  worker.reservedItems.size === 0 &&
  turn.nowMs - worker.idleSinceMs >= idleMs &&
  worker.report.host !== null &&
  workerOn(turn, owned, worker.report.host) === worker &&
  isHostAvailable(turn, owned, worker.report.host);

/** Returns idle hosts that a pool can spare, longest idle first. */
const idleHosts = (
  turn: Turn,
  owned: OwnedWork,
  demand: PoolDemand,
  idleMs: number,
): AvailableHost[] => {
  const { pool } = demand;
  const spare = Math.min(
    demand.schedulableWorkers.length - HOST_ALLOCATION.MIN_WORKERS_PER_POOL,
    spareHosts(demand),
  );
  return [...pool.workers]
    .filter((worker) => isIdle(turn, owned, worker, idleMs))
    .sort((one, other) => one.idleSinceMs - other.idleSinceMs)
    .slice(0, Math.max(0, spare))
    .flatMap((worker) => {
      const { host } = worker.report;
      return host === null ? [] : [{ host, worker }];
    });
};

/** Removes the last idle host of another pool from the list and returns it. */
const takeIdleHost = (idle: AvailableHost[], to: PoolId): AvailableHost | undefined => {
  const index = idle.findLastIndex(({ worker }) => worker?.report.pool !== to);
  return index < 0 ? undefined : idle.splice(index, 1)[0];
};

/**
 * Allocates idle hosts to pools that are short of hosts, round robin, so that a surge in one pool
 * does not leave another without hosts.
 *
 * @returns Whether some pool is still short of hosts.
 */
const allocateIdleHosts = (
  turn: Turn,
  owned: OwnedWork,
  demands: readonly PoolDemand[],
): boolean => {
  const shortPools = demands
    .map((demand) => ({ demand, missing: missingHosts(demand) }))
    .filter(({ missing }) => missing > 0)
    .sort((one, other) => one.demand.availableHosts - other.demand.availableHosts);
  if (shortPools.length === 0) {
    return false;
  }
  const standby = standbyHosts(turn, owned);
  const idle = demands.flatMap((demand) =>
    idleHosts(turn, owned, demand, HOST_ALLOCATION.MIN_IDLE_FOR_MOVE_MS),
  );
  const maxMissing = Math.max(...shortPools.map(({ missing }) => missing));
  for (let round = 0; round < maxMissing; round += 1) {
    for (const { demand } of shortPools.filter(({ missing }) => missing > round)) {
      const free = takeIdleHost(idle, demand.pool.id) ?? standby.pop();
      if (free === undefined) {
        return true;
      }
      moveHost(turn, owned, free, demand.pool.id, "work in the pool is waiting for capacity");
    }
  }
  return false;
};

/** Moves hosts that have been idle for a while to the standby pool, which turns them off. */
const turnOffIdleHosts = (turn: Turn, owned: OwnedWork, demands: readonly PoolDemand[]): void => {
  const standby = turn.work.catalog?.pools.find((pool) => pool.standby);
  if (standby === undefined) {
    return;
  }
  for (const demand of demands) {
    for (const free of idleHosts(turn, owned, demand, HOST_ALLOCATION.MIN_IDLE_FOR_STANDBY_MS)) {
      moveHost(turn, owned, free, standby.id, "the host was idle");
    }
  }
};

/** Moves idle hosts to pools with waiting work, and turns off hosts that no pool needs. */
export const tickHostAllocation = (turn: Turn, owned: OwnedWork): void => {
  if (!isOwnershipConfirmed(turn, owned)) {
    return;
  }
  requestHostList(turn, owned, HOST_TIMING.IDLE_LIST_INTERVAL_MS);
  if (owned.hostListReceivedAtMs === null) {
    return;
  }
  settleMoves(turn, owned);
  settleDrains(turn, owned);
  owned.pools.forEach((pool) => {
    decayArrivals(turn, pool);
  });
  const demands = (turn.work.catalog?.pools ?? [])
    .filter(({ standby }) => !standby)
    .map(({ id }) => poolDemand(turn, owned, poolOf(owned, id)));
  logDemand(turn, owned, demands);
  tickAdmissionFigures(turn, owned, demands);
  if (allocateIdleHosts(turn, owned, demands)) {
    balanceHosts(turn, owned, demands);
  } else {
    turnOffIdleHosts(turn, owned, demands);
  }
};
