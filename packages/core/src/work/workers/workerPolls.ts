import { isContested } from "../hosts/hostWorkers.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { CLOCK_TICK, LEASE } from "../constants.js";
import { countSteps } from "../handlingCost.js";
import { forgetEndedLeases } from "./earlierLeases.js";
import { unknownLeaseEndsAtMs } from "./leaseTimes.js";
import {
  extendLease,
  isClockCurrent,
  isStoppingRuns,
  isUnresponsive,
  mayExtendByPoll,
} from "./leases.js";
import { targetOf } from "./incarnations.js";
import { leaseExpired } from "./abandonedRuns.js";
import { runsNothing } from "./workerResources.js";
import type { OwnedWork, Worker } from "../state.js";
import { removeExpiredOrphans } from "./orphanedRuns.js";
import { wakeAfter, type Turn } from "../turn.js";
import { needsPoll, setWorkerTimer, takeDueWorkers } from "./workerTimers.js";
import { hasOpenRival, pollRivalIfDue } from "./rivalRegistrations.js";
import { removeWorker } from "./workerSet.js";

/**
 * Removes a worker without a registration once nothing can run there.
 *
 * @returns Whether the worker was removed.
 */
const removeUnregistered = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  const mayHoldLease =
    worker.leaseEndsAtMs !== null || unknownLeaseEndsAtMs(turn, worker) > turn.nowMs;
  if (worker.registered || !runsNothing(worker) || mayHoldLease || hasOpenRival(worker)) {
    return false;
  }
  removeWorker(owned, worker);
  return true;
};

/**
 * Processes workers that have changed or are due: polls them and handles expired leases. The number
 * of polls per tick is limited, since hundreds of them, each perhaps on a new connection, would
 * delay the owner's commits and the answers to callers; the remaining workers are processed at the
 * next tick.
 */
export const tickWorkers = (turn: Turn, owned: OwnedWork): void => {
  let pollsLeft: number = CLOCK_TICK.MAX_POLLS;
  const due = takeDueWorkers(turn, owned);
  countSteps(turn, due.size);
  for (const worker of due) {
    if (owned.workers.get(worker.report.id) !== worker) {
      owned.workerTimers.delete(worker);
      continue;
    }
    if (worker.leaseEndsAtMs !== null && turn.nowMs > worker.leaseEndsAtMs) {
      leaseExpired(turn, owned, worker);
    }
    removeExpiredOrphans(turn, owned, worker);
    forgetEndedLeases(turn, owned, worker);
    if (removeUnregistered(turn, owned, worker)) {
      continue;
    }
    pollsLeft -= pollsLeft > 0 && pollIfDue(turn, owned, worker) ? 1 : 0;
    pollsLeft -= pollsLeft > 0 && pollRivalIfDue(turn, owned, worker) ? 1 : 0;
    owned.changedWorkers.delete(worker);
    setWorkerTimer(turn, owned, worker);
  }
  requestNextTick(turn, owned);
};

const requestNextTick = (turn: Turn, { changedWorkers, workerTimers }: OwnedWork): void => {
  const waitMs = workerTimers.nextAtMs() - turn.nowMs;
  if (changedWorkers.size > 0 || waitMs <= 0) {
    wakeAfter(turn, CLOCK_TICK.CONTINUE_MS);
  } else if (Number.isFinite(waitMs)) {
    wakeAfter(turn, Math.max(waitMs, CLOCK_TICK.COALESCE_MS));
  }
};

/**
 * Returns the run-end sequence number that a poll acknowledges; 0 if it acknowledges none. The
 * worker's next incarnation numbers its own ends and would discard those up to this number before
 * the owner has received them, so ends are only acknowledged shortly after an answer of the known
 * incarnation.
 */
const sequenceToAcknowledge = (turn: Turn, worker: Worker): number => {
  if (hasOpenRival(worker)) {
    return 0;
  }
  const { polledAtMs, acknowledgementWithheld, durableSequence } = worker;
  const maxAgeMs = acknowledgementWithheld
    ? LEASE.ACKNOWLEDGE_AFTER_PROBE_MS
    : LEASE.ACKNOWLEDGE_WITHIN_MS;
  return polledAtMs !== null && turn.nowMs - polledAtMs <= maxAgeMs ? durableSequence : 0;
};

/**
 * Polls a worker if a poll is needed and due.
 *
 * @returns Whether a poll was sent.
 */
const pollIfDue = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  if (
    worker.pollOrder !== null ||
    !needsPoll(owned, worker) ||
    !isOwnershipConfirmed(turn, owned)
  ) {
    return false;
  }
  if (turn.nowMs < worker.nextPollAtMs) {
    return false;
  }
  const mayWait =
    worker.fenced &&
    worker.runs.size > 0 &&
    !worker.unreachable &&
    !isContested(owned, worker) &&
    !hasOpenRival(worker) &&
    isClockCurrent(turn, worker) &&
    !isUnresponsive(turn, worker);
  worker.lastPollAtMs = turn.nowMs;
  const acknowledged = sequenceToAcknowledge(turn, worker);
  worker.acknowledgementWithheld = acknowledged < worker.durableSequence;
  worker.acknowledgedSequence = Math.max(worker.acknowledgedSequence, acknowledged);
  const target = targetOf(owned, worker);
  worker.pollOrder = target.order;
  worker.pollWaitMs =
    mayWait && !isStoppingRuns(worker) && !worker.acknowledgementWithheld ? LEASE.POLL_WAIT_MS : 0;
  turn.effects.push({
    type: "worker/look",
    // An unresponsive worker's lease isn't extended, so that its work can start elsewhere.
    untilClockMs: mayExtendByPoll(turn, worker) ? extendLease(turn, worker) : null,
    acknowledgedSequence: acknowledged,
    waitMs: worker.pollWaitMs,
    ...target,
  });
  return true;
};
