import { isSure } from "./certainty.js";
import { CLOCK_TURN } from "./constants.js";
import { runsNothing } from "./room.js";
import type { OwnedWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";

/** Has a worker processed at this tick, after a change that affects its next poll or its lease. */
export const workerChanged = (owned: OwnedWork, worker: Worker): void => {
  owned.changedWorkers.add(worker);
};

/** Returns whether a worker has to be polled for what runs there and what has ended. */
export const needsLook = (worker: Worker): boolean =>
  !worker.departed &&
  (!worker.fenced ||
    worker.unreachable ||
    !runsNothing(worker) ||
    worker.seenSequence > worker.durableSequence ||
    worker.notedSequence < worker.durableSequence);

/** Returns when a worker's next poll is due; Infinity while one is in flight or none is needed. */
const nextPollMs = (turn: Turn, owned: OwnedWork, worker: Worker): number => {
  if (worker.lookOrder !== null || !needsLook(worker)) {
    return Infinity;
  }
  return isSure(turn, owned) ? worker.nextLookAtMs : turn.nowMs + CLOCK_TURN.UNSURE_MS;
};

/** Sets when a worker is next processed, unless it changes before. */
export const setTimer = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const leaseEndsAtMs = worker.leaseEndsAtMs ?? Infinity;
  let atMs = Math.min(leaseEndsAtMs, nextPollMs(turn, owned, worker));
  for (const orphan of worker.strays.values()) {
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
