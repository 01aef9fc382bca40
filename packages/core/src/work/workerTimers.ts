import { isSure } from "./certainty.js";
import { CLOCK_TURN } from "./constants.js";
import { runsNothing } from "./room.js";
import type { OwnedWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";

/** Has a worker visited in this turn: something changed that decides on its next look or lease. */
export const workerChanged = (owned: OwnedWork, worker: Worker): void => {
  owned.changedWorkers.add(worker);
};

/** @returns Whether a worker is asked what runs there and what has ended. */
export const needsLook = (worker: Worker): boolean =>
  !worker.departed &&
  (!worker.fenced ||
    worker.unreachable ||
    !runsNothing(worker) ||
    worker.seenSequence > worker.durableSequence ||
    worker.notedSequence < worker.durableSequence);

/** @returns When a worker is due for a look; infinite while one is under way or none is needed. */
const nextLookMs = (turn: Turn, owned: OwnedWork, worker: Worker): number => {
  if (worker.lookOrder !== null || !needsLook(worker)) {
    return Infinity;
  }
  return isSure(turn, owned) ? worker.nextLookAtMs : turn.nowMs + CLOCK_TURN.UNSURE_MS;
};

/** Sets when a worker is visited again, if nothing changes before. */
export const setTimer = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const leaseEndsAtMs = worker.leaseEndsAtMs ?? Infinity;
  let atMs = Math.min(leaseEndsAtMs, nextLookMs(turn, owned, worker));
  for (const stray of worker.strays.values()) {
    atMs = Math.min(atMs, Math.max(stray.leaseEndsAtMs, worker.leaseEndsAtMs ?? -Infinity));
  }
  if (Number.isFinite(atMs)) {
    owned.workerTimers.set(worker, atMs);
  } else {
    owned.workerTimers.delete(worker);
  }
};

/** @returns Workers that have changed or are due, which are taken out. */
export const takeDueWorkers = ({ nowMs }: Turn, owned: OwnedWork): ReadonlySet<Worker> => {
  const due = new Set(owned.changedWorkers);
  owned.changedWorkers.clear();
  for (const worker of owned.workerTimers.takeDue(nowMs)) {
    due.add(worker);
  }
  return due;
};
