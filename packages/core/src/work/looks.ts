import { isSure } from "./certainty.js";
import { CLOCK_TURN, LEASE } from "./constants.js";
import { lookedAt } from "./effort.js";
import { extendLease, hasStops, isSilent } from "./leases.js";
import { leaseChanged } from "./leaseRows.js";
import { targetOf } from "./lives.js";
import { leaseEnded } from "./lostRuns.js";
import { poolOf } from "./pools.js";
import { runsNothing } from "./room.js";
import type { OwnedWork, Worker } from "./state.js";
import { tickStrays } from "./strays.js";
import { wakeAfter, type Turn } from "./turn.js";

/**
 * Looks at workers that are due and ends leases that are over. Hundreds of looks, each perhaps on a
 * new connection, would hold up the owner's row and callers, so the rest goes on in the next turn.
 */
export const tickWorkers = (turn: Turn, owned: OwnedWork): void => {
  let looksLeft: number = CLOCK_TURN.MOST_LOOKS;
  lookedAt(turn, owned.workers.size);
  for (const worker of [...owned.workers.values()]) {
    if (worker.leaseEndsAtMs !== null && turn.nowMs > worker.leaseEndsAtMs) {
      leaseEnded(turn, owned, worker);
    }
    tickStrays(turn, owned, worker);
    if (!worker.listed && runsNothing(worker) && worker.leaseEndsAtMs === null) {
      owned.workers.delete(worker.report.id);
      leaseChanged(owned, worker.report.id);
      poolOf(owned, worker.report.pool).workers.delete(worker);
    } else if (looksLeft > 0) {
      looksLeft -= lookIfDue(turn, owned, worker) ? 1 : 0;
    }
  }
  if (looksLeft === 0) {
    wakeAfter(turn, CLOCK_TURN.SOON_MS);
  }
};

const needsLook = (worker: Worker): boolean =>
  !worker.departed &&
  (!worker.fenced ||
    worker.unreachable ||
    !runsNothing(worker) ||
    worker.seenSequence > worker.durableSequence ||
    worker.notedSequence < worker.durableSequence);

/**
 * A worker's next life would forget its own ends up to the number that is acknowledged, unheard. So
 * a look acknowledges ends only soon after an answer of this life.
 */
const acknowledgedSequence = (turn: Turn, worker: Worker): number => {
  const { lookedAtMs, endsWithheld, durableSequence } = worker;
  const withinMs = endsWithheld ? LEASE.SAME_LIFE_ASKED_MS : LEASE.SAME_LIFE_MS;
  return lookedAtMs !== null && turn.nowMs - lookedAtMs <= withinMs ? durableSequence : 0;
};

/** @returns Whether a look was sent. */
const lookIfDue = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  if (worker.lookOrder !== null || !needsLook(worker) || !isSure(turn, owned)) {
    return false;
  }
  if (turn.nowMs < worker.nextLookAtMs) {
    wakeAfter(turn, worker.nextLookAtMs - turn.nowMs);
    return false;
  }
  const waits = worker.fenced && worker.runs.size > 0 && !isSilent(turn, worker);
  worker.lastLookAtMs = turn.nowMs;
  const acknowledged = acknowledgedSequence(turn, worker);
  worker.endsWithheld = acknowledged < worker.durableSequence;
  worker.notedSequence = Math.max(worker.notedSequence, acknowledged);
  const target = targetOf(owned, worker);
  worker.lookOrder = target.order;
  turn.effects.push({
    type: "worker/look",
    // A silent worker's lease runs out, so that its work can start elsewhere.
    untilClockMs:
      worker.runs.size > 0 && !isSilent(turn, worker) ? extendLease(turn, worker) : null,
    notedSequence: acknowledged,
    waitMs: waits && !hasStops(worker) && !worker.endsWithheld ? LEASE.LOOK_WAIT_MS : 0,
    ...target,
  });
  return true;
};
