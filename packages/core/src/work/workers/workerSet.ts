import { markLeaseChanged } from "../store/leaseRows.js";
import { poolOf } from "../hosts/pools.js";
import type { OwnedWork, Worker } from "../state.js";
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
  markLeaseChanged(owned, id);
};
