import type { PoolId } from "@heatherferry/common";
import type { OwnedWork } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { WorkerId, WorkerReport } from "../types.js";
import { workerDeregistered, workerRegistered } from "./workers.js";

const isPoolNamed = ({ work }: Turn, pool: PoolId): boolean => work.catalogIndex.pools.has(pool);

/** Whether a lease row records what may run on the worker in this pool. */
const isLeased = (owned: OwnedWork, { id, pool }: WorkerReport): boolean =>
  owned.leases.get(id)?.pool === pool;

/**
 * Whether a registration is one of a worker: the catalog names its pool, or did when the worker was
 * last used. Without a catalog, the pool of any may be named by the first one.
 */
const isWorker = (turn: Turn, owned: OwnedWork, report: WorkerReport): boolean =>
  turn.work.catalog === null ||
  isPoolNamed(turn, report.pool) ||
  owned.workers.get(report.id)?.report.pool === report.pool ||
  isLeased(owned, report);

/** Keeps a registration until a catalog names its pool; what runs there counts until its lease ends. */
const setAside = (turn: Turn, owned: OwnedWork, report: WorkerReport): void => {
  const { id, pool } = report;
  if (owned.setAside.get(id)?.pool !== pool) {
    logLine(turn, "warn", "worker.poolUnnamed", { worker: id, pool });
  }
  owned.setAside.set(id, report);
  workerDeregistered(turn, owned, id);
};

/** Handles a registration, whether new or changed. One in a pool that no catalog names is set aside. */
export const registrationRead = (turn: Turn, owned: OwnedWork, report: WorkerReport): void => {
  if (isWorker(turn, owned, report)) {
    owned.setAside.delete(report.id);
    workerRegistered(turn, owned, report);
  } else {
    setAside(turn, owned, report);
  }
};

/** Handles the removal of a registration. */
export const registrationRemoved = (turn: Turn, owned: OwnedWork, id: WorkerId): void => {
  owned.setAside.delete(id);
  workerDeregistered(turn, owned, id);
};

/** Handles the removal of all registrations that a full read of their table does not show. */
export const registrationsListed = (
  turn: Turn,
  owned: OwnedWork,
  listed: ReadonlySet<WorkerId>,
): void => {
  for (const id of [...owned.workers.keys(), ...owned.setAside.keys()]) {
    if (!listed.has(id)) {
      registrationRemoved(turn, owned, id);
    }
  }
};

/**
 * Applies the pools that a new catalog names: registrations that were set aside count from now on,
 * and those that were taken without a catalog are set aside unless their worker has answered.
 */
export const registrationsReviewed = (turn: Turn, owned: OwnedWork): void => {
  for (const report of [...owned.setAside.values()]) {
    if (isPoolNamed(turn, report.pool)) {
      registrationRead(turn, owned, report);
    }
  }
  for (const { report, registered, fenced } of [...owned.workers.values()]) {
    const isUsed = fenced || isPoolNamed(turn, report.pool) || isLeased(owned, report);
    if (registered && !isUsed) {
      setAside(turn, owned, report);
    }
  }
};
