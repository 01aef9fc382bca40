import { LEASE, RUN_PHASE } from "../constants.js";
import { isEvacuated } from "../evacuation/index.js";
import { countSteps } from "../handlingCost.js";
import { hostCapacity, hostFraction } from "../hosts/arrivals.js";
import { isUnresponsive } from "./leases.js";
import { reserveForMove } from "../placement/capacityReservations.js";
import { poolOf } from "../hosts/pools.js";
import { stopRun } from "./runs.js";
import type { Item, OwnedWork, PoolWork, Run, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import { stepKeyOf } from "../types.js";

/**
 * Whether an item's run has finished starting up. The last progress that a worker reported counts
 * only while the worker answers.
 */
const isAvailable = (turn: Turn, owned: OwnedWork, { run }: Item): boolean => {
  const worker = run === null ? undefined : owned.workers.get(run.worker);
  return (
    run?.phase === RUN_PHASE.RUNNING &&
    run.percent >= 100 &&
    worker !== undefined &&
    !worker.unreachable &&
    !isUnresponsive(turn, worker)
  );
};

/** Returns the number of other items of the run's step that are not available. */
const unavailableOthers = (turn: Turn, owned: OwnedWork, { item }: Run): number => {
  const step = item.submission.occurrences.get(item.occurrence)?.steps[item.step]?.items() ?? [];
  return step.filter((other) => other !== item && !isAvailable(turn, owned, other)).length;
};

/**
 * Checks a run against the `maxUnavailable` of its step. A run that was starting up at the last
 * poll may be available by now, so stopping it counts in any case.
 *
 * @returns Whether a run may be stopped without making too many items of its step unavailable.
 */
export const mayStop = (turn: Turn, owned: OwnedWork, run: Run): boolean => {
  const { maxUnavailable, lasting } = run.item.spec;
  return (
    !lasting || maxUnavailable === null || unavailableOthers(turn, owned, run) < maxUnavailable
  );
};

/**
 * Evicts long-running items from a worker, as far as their steps allow it and other workers have
 * capacity for them now. Other items end by themselves.
 *
 * @param reason - Reason for the eviction, for the log.
 * @param urgent - Whether to stop items even if no other worker has capacity for them yet.
 */
export const evictLongRunning = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  reason: string,
  urgent: boolean,
): void => {
  if (worker.longRunningRuns === 0) {
    return;
  }
  const pool = poolOf(owned, worker.report.pool);
  for (const run of worker.runs.values()) {
    const evictable = run.item.spec.lasting && run.phase === RUN_PHASE.RUNNING;
    if (!evictable || !mayStop(turn, owned, run)) {
      continue;
    }
    if (reserveForMove(turn, owned, pool, run.item) || urgent) {
      stopRun(turn, owned, run, reason);
    } else if (!pool.displacedItems.has(run.item)) {
      pool.displacedItems.add(run.item);
      pool.displacedHosts += hostFraction(run.resources, hostCapacity(pool));
    }
  }
};

/**
 * Evicts long-running items from zones that are being evacuated. They are never stopped before they
 * have a place elsewhere, since their workers stay.
 */
export const evictFromEvacuatedZones = (turn: Turn, owned: OwnedWork): void => {
  const { evacuations } = turn.work;
  if (evacuations.requests.size === 0) {
    return;
  }
  countSteps(turn, owned.workers.size);
  for (const worker of owned.workers.values()) {
    const { draining, availabilityZone } = worker.report;
    if (worker.registered && !draining && isEvacuated(evacuations, availabilityZone)) {
      evictLongRunning(turn, owned, worker, "its availability zone is being evacuated", false);
    }
  }
};

/**
 * Returns how many more workers a pool needs for displaced items of evacuated zones that no open
 * worker may take because of the limit per worker of their step, whatever room it has.
 */
export const displacedSpread = (turn: Turn, owned: OwnedWork, pool: PoolWork): number => {
  const itemsByStep = new Map<string, number>();
  let most = 0;
  for (const { key, run, reservedWorker, spec } of pool.displacedItems) {
    const zone = run === null ? null : owned.workers.get(run.worker)?.report.availabilityZone;
    const mayCount = spec.maxPerWorker !== null && reservedWorker === null && zone != null;
    if (mayCount && isEvacuated(turn.work.evacuations, zone)) {
      const items = (itemsByStep.get(stepKeyOf(key)) ?? 0) + 1;
      itemsByStep.set(stepKeyOf(key), items);
      most = Math.max(most, items / spec.maxPerWorker);
    }
  }
  return Math.ceil(most);
};

/** Evicts long-running items from draining workers. */
export const evictFromDrainingWorkers = (turn: Turn, owned: OwnedWork): void => {
  for (const worker of owned.drainingWorkers) {
    if (worker.registered) {
      const { drainRemainingMs } = worker.report;
      const urgent = drainRemainingMs === null || drainRemainingMs < LEASE.EVICT_BEFORE_EXIT_MS;
      evictLongRunning(turn, owned, worker, "the worker is draining", urgent);
    }
  }
};
