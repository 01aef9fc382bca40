import type { PoolId } from "@heatherferry/common";
import { LENDING, RESERVATION } from "./constants.js";
import { neededHosts, type Demand } from "./demand.js";
import { divideHosts } from "./division.js";
import { findLife, lifeOf, release, reserve, workerOn } from "./hostWorkers.js";
import { mayOrderHost } from "./hosts.js";
import { moveHost } from "./moves.js";
import { runsNothing } from "./room.js";
import type { HostDrain, OwnedWork, Reservation, Worker } from "./state.js";
import { logLine, newHostOrderId, type Turn } from "./turn.js";

const drainOf = ({ order }: HostDrain): Reservation => ({
  purpose: RESERVATION.DRAIN,
  number: order,
});

/** @returns Whether nothing runs on a worker and all its ends are written and acknowledged. */
export const isEmpty = (worker: Worker): boolean =>
  runsNothing(worker) && worker.seenSequence === worker.notedSequence;

/** What runs on a worker, as a part of its processor. */
const load = ({ usedCpuMilli, report }: Worker): number =>
  usedCpuMilli / Math.max(1, report.capacity.cpuMilli);

/** @returns Workers that a pool can be without soonest: none with work that lasts. */
const drainable = (turn: Turn, owned: OwnedWork, { openWorkers }: Demand): Worker[] =>
  openWorkers
    .filter((worker) => {
      const { host } = worker.report;
      return (
        host !== null &&
        worker.fenced &&
        worker.lastingRuns === 0 &&
        worker.promised.size === 0 &&
        workerOn(owned, host) === worker &&
        !owned.moves.has(host) &&
        mayOrderHost(turn, owned, host)
      );
    })
    .sort((one, other) => load(one) - load(other));

const drain = (turn: Turn, owned: OwnedWork, worker: Worker, to: PoolId): void => {
  const { host, pool } = worker.report;
  const life = lifeOf(worker);
  if (host === null || life === null) {
    return;
  }
  const order = newHostOrderId(turn.work);
  const begun: HostDrain = { order, worker: life, to, sinceMs: turn.nowMs };
  reserve(worker, drainOf(begun));
  owned.drains.set(host, begun);
  logLine(turn, "info", "host.draining", { host, from: pool, to, runs: worker.runs.size });
};

/** A worker that does not answer may run more than is known. */
const isDrained = (turn: Turn, worker: Worker): boolean =>
  isEmpty(worker) &&
  worker.listed &&
  worker.fenced &&
  !worker.unreachable &&
  turn.nowMs - worker.idleSinceMs >= LENDING.LEND_IDLE_MS;

/** Moves hosts whose workers are empty by now, and gives up drains that take too long. */
export const settleDrains = (turn: Turn, owned: OwnedWork): void => {
  for (const [host, begun] of owned.drains) {
    const worker = findLife(owned, begun.worker);
    const here = worker !== null && workerOn(owned, host) === worker;
    const late = turn.nowMs - begun.sinceMs > LENDING.DRAIN_GIVE_UP_MS;
    const drained = here && isDrained(turn, worker);
    if (!here || late || drained) {
      owned.drains.delete(host);
      release(worker, drainOf(begun));
      if (drained) {
        moveHost(turn, owned, { host, worker }, begun.to, "it was drained");
      }
    }
  }
};

/** A pool that has more hosts than its part of those that there are, or less. */
interface Balance {
  readonly demand: Demand;
  surplus: number;
}

/**
 * Takes hosts from pools whose work is late from those whose work can be in time. Where no host is
 * idle, a pool with a backlog would keep its hosts until all of that is worked off.
 *
 * @param demands - What all pools ask for and have.
 */
export const balanceHosts = (turn: Turn, owned: OwnedWork, demands: readonly Demand[]): void => {
  const total = demands.reduce((sum, { hosts }) => sum + hosts, 0);
  const parts = divideHosts(
    demands.map((demand) => neededHosts(turn, demand)),
    total,
  );
  const balances: Balance[] = demands.map((demand, index) => ({
    demand,
    surplus: demand.hosts - (parts[index] ?? 0),
  }));
  const givers = balances
    .filter(({ surplus }) => surplus >= 1)
    .sort((one, other) => other.surplus - one.surplus);
  const takers = balances
    .filter(({ surplus }) => surplus <= -1)
    .sort((one, other) => one.surplus - other.surplus);
  for (const giver of givers) {
    const { openWorkers, comingHosts } = giver.demand;
    const most = Math.min(
      openWorkers.length - LENDING.LEAST_WORKERS,
      Math.floor(giver.surplus - comingHosts),
    );
    for (const worker of drainable(turn, owned, giver.demand).slice(0, Math.max(0, most))) {
      const taker = takers.find(({ surplus }) => surplus <= -1);
      if (taker === undefined) {
        return;
      }
      drain(turn, owned, worker, taker.demand.pool.id);
      taker.surplus += 1;
    }
  }
};
