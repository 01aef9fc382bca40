import { markLeaseChanged } from "../store/leaseRows.js";
import { poolOf } from "../hosts/pools.js";
import type { OwnedWork, PoolWork, Worker } from "../state.js";
import { markWorkerChanged } from "./workerTimers.js";

/** Adds an incarnation of a worker to the owner's state. */
export const addWorker = (owned: OwnedWork, worker: Worker): void => {
  const { id, pool } = worker.report;
  owned.workers.set(id, worker);
  poolOf(owned, pool).workers.add(worker);
  poolOf(owned, pool).capacityIndex.add(worker);
  markWorkerChanged(owned, worker);
  updateDraining(owned, worker);
};

/** Adds a worker to the draining workers, or removes it, as its report says. */
export const updateDraining = (owned: OwnedWork, worker: Worker): void => {
  if (worker.report.draining) {
    owned.drainingWorkers.add(worker);
  } else {
    owned.drainingWorkers.delete(worker);
  }
};

/** Records that a worker has answered this owner, so that its capacity may stand for its pool's. */
export const noteAnswered = (owned: OwnedWork, worker: Worker): void => {
  poolOf(owned, worker.report.pool).exemplar ??= worker;
};

/** Lets another worker that has answered stand for the hosts of a pool once its exemplar is gone. */
const replaceExemplar = (pool: PoolWork, gone: Worker): void => {
  if (pool.exemplar !== gone) {
    return;
  }
  pool.exemplar = null;
  for (const worker of pool.workers) {
    if (worker.fenced) {
      pool.exemplar = worker;
      return;
    }
  }
};

/** Removes an incarnation of a worker from the owner's state. */
export const removeWorker = (owned: OwnedWork, worker: Worker): void => {
  const { id, pool } = worker.report;
  owned.workers.delete(id);
  owned.workerTimers.delete(worker);
  owned.changedWorkers.delete(worker);
  owned.drainingWorkers.delete(worker);
  owned.workersWithUnpersistedEnds.delete(worker);
  poolOf(owned, pool).workers.delete(worker);
  poolOf(owned, pool).capacityIndex.delete(worker);
  replaceExemplar(poolOf(owned, pool), worker);
  markLeaseChanged(owned, id);
};
