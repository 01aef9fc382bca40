import type { PoolId } from "@heatherferry/common";
import { HOST_ALLOCATION, RESERVATION } from "../constants.js";
import { neededHosts, type PoolDemand } from "./demand.js";
import { maxMinShares } from "./maxMinShares.js";
import {
  findIncarnation,
  incarnationOf,
  releaseWorker,
  reserveWorker,
  workerOn,
} from "./hostWorkers.js";
import { isHostEvacuated, mayOrderHost } from "./hosts.js";
import { moveHost } from "./hostMoves.js";
import { runsNothing } from "../workers/workerResources.js";
import type { HostDrain, OwnedWork, Reservation, Worker } from "../state.js";
import { logLine, newHostOrderId, type Turn } from "../turn.js";

const drainReservation = ({ order }: HostDrain): Reservation => ({
  purpose: RESERVATION.DRAIN,
  number: order,
});

/** Whether nothing runs on a worker and all its run ends are stored and acknowledged. */
export const isEmpty = (worker: Worker): boolean =>
  runsNothing(worker) && worker.seenSequence === worker.acknowledgedSequence;

/** Returns the fraction of a worker's processor that is in use. */
const processorLoad = ({ usedCpuMilli, report }: Worker): number =>
  usedCpuMilli / Math.max(1, report.capacity.cpuMilli);

/** Returns workers without long-running items that can be drained, least loaded first. */
const drainable = (turn: Turn, owned: OwnedWork, { schedulableWorkers }: PoolDemand): Worker[] =>
  schedulableWorkers
    .filter((worker) => {
      const { host } = worker.report;
      return (
        host !== null &&
        worker.fenced &&
        worker.longRunningRuns === 0 &&
        worker.reservedItems.size === 0 &&
        workerOn(turn, owned, host) === worker &&
        !owned.moves.has(host) &&
        mayOrderHost(turn, owned, host)
      );
    })
    .sort((one, other) => processorLoad(one) - processorLoad(other));

const startDrain = (turn: Turn, owned: OwnedWork, worker: Worker, to: PoolId): void => {
  const { host, pool } = worker.report;
  const incarnation = incarnationOf(worker);
  if (host === null || incarnation === null) {
    return;
  }
  const order = newHostOrderId(turn.work);
  const drain: HostDrain = { order, worker: incarnation, to, startedAtMs: turn.nowMs };
  reserveWorker(worker, drainReservation(drain));
  owned.drains.set(host, drain);
  logLine(turn, "info", "host.draining", { host, from: pool, to, runs: worker.runs.size });
};

/**
 * Whether a worker has drained. One that does not answer may run more than is known, so it never
 * counts as drained.
 */
const isDrained = (turn: Turn, worker: Worker): boolean =>
  isEmpty(worker) &&
  worker.registered &&
  worker.fenced &&
  !worker.unreachable &&
  turn.nowMs - worker.idleSinceMs >= HOST_ALLOCATION.MIN_IDLE_FOR_MOVE_MS;

/** Moves hosts that have drained, and abandons drains that take too long. */
export const settleDrains = (turn: Turn, owned: OwnedWork): void => {
  for (const [host, drain] of owned.drains) {
    const worker = findIncarnation(owned, drain.worker);
    const isCurrent = worker !== null && workerOn(turn, owned, host) === worker;
    const timedOut = turn.nowMs - drain.startedAtMs > HOST_ALLOCATION.DRAIN_TIMEOUT_MS;
    const evacuated = isHostEvacuated(turn, owned, host);
    const drained = isCurrent && !evacuated && isDrained(turn, worker);
    if (!isCurrent || timedOut || evacuated || drained) {
      owned.drains.delete(host);
      releaseWorker(worker, drainReservation(drain));
      if (drained) {
        moveHost(turn, owned, { host, worker }, drain.to, "the host was drained");
      }
    }
  }
};

/** By how many hosts a pool is above its fair share; negative if it is below. */
interface Balance {
  readonly demand: PoolDemand;
  surplus: number;
}

/**
 * Drains hosts of pools above their fair share for pools below it. The shares count only work that
 * can still meet its target. Without this a pool with a backlog of late work would keep its hosts
 * until the whole backlog is done, as none of them becomes idle.
 *
 * @param demands - Demand and hosts of all pools.
 */
export const balanceHosts = (
  turn: Turn,
  owned: OwnedWork,
  demands: readonly PoolDemand[],
): void => {
  const total = demands.reduce((sum, { availableHosts }) => sum + availableHosts, 0);
  const shares = maxMinShares(
    demands.map((demand) => neededHosts(turn, demand)),
    total,
  );
  const balances: Balance[] = demands.map((demand, index) => ({
    demand,
    surplus: demand.availableHosts - (shares[index] ?? 0),
  }));
  const givers = balances
    .filter(({ surplus }) => surplus >= 1)
    .sort((one, other) => other.surplus - one.surplus);
  const takers = balances
    .filter(({ surplus }) => surplus <= -1)
    .sort((one, other) => one.surplus - other.surplus);
  for (const giver of givers) {
    const { schedulableWorkers, incomingHosts } = giver.demand;
    const maxDrains = Math.min(
      schedulableWorkers.length - HOST_ALLOCATION.MIN_WORKERS_PER_POOL,
      Math.floor(giver.surplus - incomingHosts),
    );
    for (const worker of drainable(turn, owned, giver.demand).slice(0, Math.max(0, maxDrains))) {
      const taker = takers.find(({ surplus }) => surplus <= -1);
      if (taker === undefined) {
        return;
      }
      startDrain(turn, owned, worker, taker.demand.pool.id);
      taker.surplus += 1;
    }
  }
};
