import { LEASE } from "./constants.js";
import { lookGapMs } from "./loopLag.js";
import type { Worker } from "./state.js";
import type { Turn } from "./turn.js";

/** Keeps a sample of a worker's clock. */
export const noteClock = (turn: Turn, worker: Worker, clockMs: number | null): void => {
  if (clockMs === null) {
    return;
  }
  worker.answeredAtMs = turn.nowMs;
  if (worker.clock === null || clockMs >= worker.clock.clockMs) {
    worker.clock = { clockMs, atMs: turn.nowMs };
  }
};

const leaseTermMs = (turn: Turn): number => Math.min(LEASE.TERM_MS, turn.work.bounds.holdMaxMs);

/** @returns The end of the longest lease that an order to an earlier life may grant now. */
const lateLeaseEndsAtMs = (turn: Turn, { clock, lateLeaseUntilClockMs }: Worker): number => {
  if (lateLeaseUntilClockMs === null) {
    return -Infinity;
  }
  const clockMs = clock === null ? 0 : clock.clockMs + (turn.nowMs - clock.atMs);
  const leftMs = Math.min(turn.work.bounds.holdMaxMs, Math.max(0, lateLeaseUntilClockMs - clockMs));
  return turn.nowMs + leftMs / LEASE.SLOWEST_CLOCK + LEASE.END_MARGIN_MS;
};

/**
 * Counts on orders to an earlier life of a worker that this life may carry out late.
 *
 * @param untilClockMs - Last end of a lease that they grant, on whichever life's clock.
 */
export const expectLateLease = (turn: Turn, worker: Worker, untilClockMs: number): void => {
  worker.lateLeaseUntilClockMs = untilClockMs;
  worker.leaseEndsAtMs = lateLeaseEndsAtMs(turn, worker);
};

/**
 * Asks for a new lease: everything on the worker may run until then.
 *
 * @returns The end on the worker's clock, or null while its clock is unknown.
 */
export const extendLease = (turn: Turn, worker: Worker): number | null => {
  const { clock } = worker;
  if (clock === null) {
    return null;
  }
  const untilClockMs = Math.round(clock.clockMs + (turn.nowMs - clock.atMs) + leaseTermMs(turn));
  worker.leaseUntilClockMs = Math.max(worker.leaseUntilClockMs, untilClockMs);
  const remainingMs = (worker.leaseUntilClockMs - clock.clockMs) / LEASE.SLOWEST_CLOCK;
  worker.leaseEndsAtMs = Math.max(
    clock.atMs + remainingMs + LEASE.END_MARGIN_MS,
    lateLeaseEndsAtMs(turn, worker),
  );
  return worker.leaseUntilClockMs;
};

/** @returns Whether a worker that should answer does not. */
export const isSilent = (turn: Turn, worker: Worker): boolean =>
  worker.runs.size > 0 &&
  turn.nowMs - Math.max(worker.answeredAtMs ?? 0, worker.busySinceMs) >
    LEASE.LOOK_WAIT_MS + LEASE.SILENT_MARGIN_MS + lookGapMs(turn.work) - LEASE.LOOK_GAP_MS;

/** @returns Whether runs are being stopped on a worker. */
export const hasStops = (worker: Worker): boolean => {
  if (worker.strays.size > 0) {
    return true;
  }
  for (const run of worker.runs.values()) {
    if (run.stopSentAtMs !== null || run.missingSinceMs !== null) {
      return true;
    }
  }
  return false;
};
