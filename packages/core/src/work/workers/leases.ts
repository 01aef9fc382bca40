import { LEASE } from "../constants.js";
import { leaseTermMs } from "./leaseTimes.js";
import { pollGapMs } from "../loopLag.js";
import { hasOpenRival } from "./rivalRegistrations.js";
import type { Worker } from "../state.js";
import type { Turn } from "../turn.js";

/** Records that a worker answered, and its clock unless a later reading is already known. */
export const recordWorkerClock = (turn: Turn, worker: Worker, clockMs: number | null): void => {
  if (clockMs === null) {
    return;
  }
  worker.answeredAtMs = turn.nowMs;
  if (worker.clock === null || clockMs >= worker.clock.clockMs) {
    worker.clock = { clockMs, atMs: turn.nowMs };
  }
};

/**
 * Whether a worker's clock was read so recently that a lease by this reading is long enough for new
 * work.
 */
export const isClockCurrent = (turn: Turn, { clock }: Worker): boolean =>
  clock !== null && turn.nowMs - clock.atMs <= LEASE.MAX_CLOCK_AGE_MS;

/**
 * Extends the lease within which everything on a worker may run, by an order that is about to be
 * sent. The lease is counted from the earliest time that the worker's clock may show: by a later
 * one it would last longer than the next owner, which doesn't know the reading, waits for it.
 *
 * @returns The lease end on the worker's clock, or null while that clock is unknown.
 */
export const extendLease = (turn: Turn, worker: Worker): number | null => {
  const { clock } = worker;
  if (clock === null) {
    return null;
  }
  const earliestClockMs = clock.clockMs + (turn.nowMs - clock.atMs) * LEASE.MIN_CLOCK_RATE;
  const untilClockMs = Math.floor(earliestClockMs + leaseTermMs(turn));
  worker.leaseUntilClockMs = Math.max(worker.leaseUntilClockMs, untilClockMs);
  worker.leaseSentAtMs = turn.nowMs;
  const remainingMs = (worker.leaseUntilClockMs - clock.clockMs) / LEASE.MIN_CLOCK_RATE;
  worker.leaseEndsAtMs = Math.max(
    clock.atMs + remainingMs + LEASE.END_MARGIN_MS,
    worker.leaseEndsAtMs ?? -Infinity,
  );
  return worker.leaseUntilClockMs;
};

/**
 * Whether a poll may extend a worker's lease: only shortly after an answer of the known incarnation,
 * since the next one would take the lease end for a reading of its own clock, which starts anew.
 */
export const mayExtendByPoll = (turn: Turn, worker: Worker): boolean =>
  worker.runs.size > 0 &&
  !worker.unreachable &&
  !hasOpenRival(worker) &&
  worker.polledAtMs !== null &&
  turn.nowMs - worker.polledAtMs <= LEASE.EXTEND_WITHIN_MS &&
  !isUnresponsive(turn, worker);

/** Whether a worker with runs has not answered for longer than a poll may take. */
export const isUnresponsive = (turn: Turn, worker: Worker): boolean =>
  worker.runs.size > 0 &&
  turn.nowMs - Math.max(worker.answeredAtMs ?? 0, worker.busySinceMs) >
    LEASE.POLL_WAIT_MS + LEASE.UNRESPONSIVE_MARGIN_MS + pollGapMs(turn.work) - LEASE.POLL_GAP_MS;

/** Whether a worker may be stopping runs: orphaned, told to stop, or missing from its polls. */
export const isStoppingRuns = (worker: Worker): boolean => {
  if (worker.orphanedRuns.size > 0) {
    return true;
  }
  for (const run of worker.runs.values()) {
    if (run.stopSentAtMs !== null || run.missingSinceMs !== null) {
      return true;
    }
  }
  return false;
};
