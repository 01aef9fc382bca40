import { LEASE } from "./constants.js";
import { pollGapMs } from "./loopLag.js";
import type { Worker } from "./state.js";
import type { Turn } from "./turn.js";

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

const leaseTermMs = (turn: Turn): number => Math.min(LEASE.TERM_MS, turn.work.bounds.holdMaxMs);

/** Returns the latest lease end that a delayed order to an earlier incarnation may still grant. */
const lateLeaseEndsAtMs = (turn: Turn, { clock, lateLeaseUntilClockMs }: Worker): number => {
  if (lateLeaseUntilClockMs === null) {
    return -Infinity;
  }
  const clockMs = clock === null ? 0 : clock.clockMs + (turn.nowMs - clock.atMs);
  const leftMs = Math.min(turn.work.bounds.holdMaxMs, Math.max(0, lateLeaseUntilClockMs - clockMs));
  return turn.nowMs + leftMs / LEASE.MIN_CLOCK_RATE + LEASE.END_MARGIN_MS;
};

/**
 * Sets the lease end of a new incarnation of a worker to the latest one that delayed orders to an
 * earlier incarnation may grant, since the new one may carry them out.
 *
 * @param untilClockMs - Latest lease end in such an order, as a reading of the worker's clock.
 */
export const expectLateLease = (turn: Turn, worker: Worker, untilClockMs: number): void => {
  worker.lateLeaseUntilClockMs = untilClockMs;
  worker.leaseEndsAtMs = lateLeaseEndsAtMs(turn, worker);
};

/**
 * Extends the lease within which everything on a worker may run.
 *
 * @returns The lease end on the worker's clock, or null while that clock is unknown.
 */
export const extendLease = (turn: Turn, worker: Worker): number | null => {
  const { clock } = worker;
  if (clock === null) {
    return null;
  }
  const untilClockMs = Math.round(clock.clockMs + (turn.nowMs - clock.atMs) + leaseTermMs(turn));
  worker.leaseUntilClockMs = Math.max(worker.leaseUntilClockMs, untilClockMs);
  const remainingMs = (worker.leaseUntilClockMs - clock.clockMs) / LEASE.MIN_CLOCK_RATE;
  worker.leaseEndsAtMs = Math.max(
    clock.atMs + remainingMs + LEASE.END_MARGIN_MS,
    lateLeaseEndsAtMs(turn, worker),
  );
  return worker.leaseUntilClockMs;
};

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
