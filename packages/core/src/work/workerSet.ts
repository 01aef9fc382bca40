import { leaseChanged } from "./leaseRows.js";
import { poolOf } from "./pools.js";
import type { OwnedWork, Worker } from "./state.js";
import { workerChanged } from "./workerTimers.js";

/** Adds an incarnation of a worker to the owner's state. */
export const takeIn = (owned: OwnedWork, worker: Worker): void => {
  const { id, pool } = worker.report;
  owned.workers.set(id, worker);
  poolOf(owned, pool).workers.add(worker);
  poolOf(owned, pool).room.add(worker);
  workerChanged(owned, worker);
  noteLeaving(owned, worker);
};

/** Adds a worker to the draining workers, or removes it, as its report says. */
export const noteLeaving = (owned: OwnedWork, worker: Worker): void => {
  if (worker.report.draining) {
    owned.leavingWorkers.add(worker);
  } else {
    owned.leavingWorkers.delete(worker);
  }
};

/** Removes an incarnation of a worker from the owner's state. */
export const leaveOut = (owned: OwnedWork, worker: Worker): void => {
  const { id, pool } = worker.report;
  owned.workers.delete(id);
  owned.workerTimers.delete(worker);
  owned.changedWorkers.delete(worker);
  owned.leavingWorkers.delete(worker);
  owned.endsToWrite.delete(worker);
  poolOf(owned, pool).workers.delete(worker);
  poolOf(owned, pool).room.delete(worker);
  leaseChanged(owned, id);
};
