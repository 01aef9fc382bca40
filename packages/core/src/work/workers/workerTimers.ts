import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { CLOCK_TICK } from "../constants.js";
import { unknownLeaseEndsAtMs } from "./leaseTimes.js";
import { isContested } from "../hosts/hostWorkers.js";
import { hasOpenRival, nextRivalPollMs } from "./rivalRegistrations.js";
import { runsNothing } from "./workerResources.js";
import type { OwnedWork, Worker } from "../state.js";
import type { Turn } from "../turn.js";

/** Has a worker processed at this tick, after a change that affects its next poll or its lease. */
export const markWorkerChanged = (owned: OwnedWork, worker: Worker): void => {
  owned.changedWorkers.add(worker);
};

/** Whether a worker has to be polled for what runs there and what has ended. */
export const needsPoll = (owned: OwnedWork, worker: Worker): boolean =>
  !worker.hostReclaimed &&
  (!worker.fenced ||
    isContested(owned, worker) ||
    hasOpenRival(worker) ||
    worker.unreachable ||
    worker.leaseUnverified ||
    !runsNothing(worker) ||
    worker.seenSequence > worker.durableSequence ||
    worker.acknowledgedSequence < worker.durableSequence);

/** Returns when the next poll of a worker or of its rival is due; Infinity if none is needed. */
const nextPollMs = (turn: Turn, owned: OwnedWork, worker: Worker): number => {
  const isNeeded = worker.pollOrder === null && needsPoll(owned, worker);
  const atMs = Math.min(isNeeded ? worker.nextPollAtMs : Infinity, nextRivalPollMs(worker));
  return !Number.isFinite(atMs) || isOwnershipConfirmed(turn, owned)
    ? atMs
    : turn.nowMs + CLOCK_TICK.UNCONFIRMED_RECHECK_MS;
};

/** Sets when a worker is next processed, unless it changes before. */
export const setWorkerTimer = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const leaseEndsAtMs = worker.leaseEndsAtMs ?? Infinity;
  const unknownLeaseMs = unknownLeaseEndsAtMs(turn, worker);
  let atMs = Math.min(leaseEndsAtMs, nextPollMs(turn, owned, worker));
  if (Number.isFinite(unknownLeaseMs)) {
    atMs = Math.min(atMs, unknownLeaseMs + 1);
  }
  for (const orphan of worker.orphanedRuns.values()) {
    atMs = Math.min(atMs, Math.max(orphan.leaseEndsAtMs, worker.leaseEndsAtMs ?? -Infinity));
  }
  if (Number.isFinite(atMs)) {
    owned.workerTimers.set(worker, atMs);
  } else {
    owned.workerTimers.delete(worker);
  }
};

/** Removes and returns the workers that have changed or whose timers are due. */
export const takeDueWorkers = ({ nowMs }: Turn, owned: OwnedWork): ReadonlySet<Worker> => {
  const due = new Set(owned.changedWorkers);
  owned.changedWorkers.clear();
  for (const worker of owned.workerTimers.takeDue(nowMs)) {
    due.add(worker);
  }
  return due;
};
