import { isSure } from "./certainty.js";
import { CLOCK_TURN, LEASE } from "./constants.js";
import { lookedAt } from "./effort.js";
import { extendLease, hasStops, isSilent } from "./leases.js";
import { targetOf } from "./lives.js";
import { leaseEnded } from "./lostRuns.js";
import { runsNothing } from "./room.js";
import type { OwnedWork, Worker } from "./state.js";
import { tickStrays } from "./strays.js";
import { wakeAfter, type Turn } from "./turn.js";
import { needsLook, setTimer, takeDueWorkers } from "./workerTimers.js";
import { leaveOut } from "./workerSet.js";

/**
 * Removes a worker without a registration once nothing can run there.
 *
 * @returns Whether the worker was removed.
 */
const removeUnregistered = (owned: OwnedWork, worker: Worker): boolean => {
  if (worker.listed || !runsNothing(worker) || worker.leaseEndsAtMs !== null) {
    return false;
  }
  leaveOut(owned, worker);
  return true;
};

/**
 * Processes workers that have changed or are due: polls them and handles expired leases. The number
 * of polls per tick is limited, since hundreds of them, each perhaps on a new connection, would
 * delay the owner's commits and the answers to callers; the remaining workers are processed at the
 * next tick.
 */
export const tickWorkers = (turn: Turn, owned: OwnedWork): void => {
  let pollsLeft: number = CLOCK_TURN.MOST_LOOKS;
  const due = takeDueWorkers(turn, owned);
  lookedAt(turn, due.size);
  for (const worker of due) {
    if (owned.workers.get(worker.report.id) !== worker) {
      owned.workerTimers.delete(worker);
      continue;
    }
    if (worker.leaseEndsAtMs !== null && turn.nowMs > worker.leaseEndsAtMs) {
      leaseEnded(turn, owned, worker);
    }
    tickStrays(turn, owned, worker);
    if (removeUnregistered(owned, worker)) {
      continue;
    }
    pollsLeft -= pollsLeft > 0 && pollIfDue(turn, owned, worker) ? 1 : 0;
    owned.changedWorkers.delete(worker);
    setTimer(turn, owned, worker);
  }
  requestNextTick(turn, owned);
};

const requestNextTick = (turn: Turn, { changedWorkers, workerTimers }: OwnedWork): void => {
  const waitMs = workerTimers.nextAtMs() - turn.nowMs;
  if (changedWorkers.size > 0 || waitMs <= 0) {
    wakeAfter(turn, CLOCK_TURN.SOON_MS);
  } else if (Number.isFinite(waitMs)) {
    wakeAfter(turn, Math.max(waitMs, CLOCK_TURN.GRAIN_MS));
  }
};

/**
 * Returns the run-end sequence number that a poll acknowledges; 0 if it acknowledges none. The
 * worker's next incarnation numbers its own ends and would discard those up to this number before
 * the owner has received them, so ends are only acknowledged shortly after an answer of the known
 * incarnation.
 */
const sequenceToAcknowledge = (turn: Turn, worker: Worker): number => {
  const { lookedAtMs, endsWithheld, durableSequence } = worker;
  const maxAgeMs = endsWithheld ? LEASE.SAME_LIFE_ASKED_MS : LEASE.SAME_LIFE_MS;
  return lookedAtMs !== null && turn.nowMs - lookedAtMs <= maxAgeMs ? durableSequence : 0;
};

/**
 * Polls a worker if a poll is needed and due.
 *
 * @returns Whether a poll was sent.
 */
const pollIfDue = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  if (worker.lookOrder !== null || !needsLook(worker) || !isSure(turn, owned)) {
    return false;
  }
  if (turn.nowMs < worker.nextLookAtMs) {
    return false;
  }
  const mayWait = worker.fenced && worker.runs.size > 0 && !isSilent(turn, worker);
  worker.lastLookAtMs = turn.nowMs;
  const acknowledged = sequenceToAcknowledge(turn, worker);
  worker.endsWithheld = acknowledged < worker.durableSequence;
  worker.notedSequence = Math.max(worker.notedSequence, acknowledged);
  const target = targetOf(owned, worker);
  worker.lookOrder = target.order;
  turn.effects.push({
    type: "worker/look",
    // An unresponsive worker's lease isn't extended, so that its work can start elsewhere.
    untilClockMs:
      worker.runs.size > 0 && !isSilent(turn, worker) ? extendLease(turn, worker) : null,
    notedSequence: acknowledged,
    waitMs: mayWait && !hasStops(worker) && !worker.endsWithheld ? LEASE.LOOK_WAIT_MS : 0,
    ...target,
  });
  return true;
};
