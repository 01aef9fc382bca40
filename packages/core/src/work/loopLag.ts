import { CLOCK_TICK, LEASE } from "./constants.js";
import type { WorkloadState } from "./state.js";
import { logLine, type Turn } from "./turn.js";

/** Records how late a clock tick is handled, and logs late ticks at most once a second. */
const recordLag = (turn: Turn, lateMs: number): void => {
  const { lag } = turn.work;
  lag.smoothedMs =
    lag.smoothedMs * CLOCK_TICK.LAG_SMOOTHING + lateMs * (1 - CLOCK_TICK.LAG_SMOOTHING);
  if (lateMs < CLOCK_TICK.LATE_MS) {
    return;
  }
  lag.lateTicks += 1;
  lag.worstMs = Math.max(lag.worstMs, lateMs);
  if (turn.nowMs - lag.loggedAtMs < CLOCK_TICK.LATE_LOG_GAP_MS) {
    return;
  }
  logLine(turn, "warn", "loop.lagged", {
    ticks: lag.lateTicks,
    worstMs: Math.round(lag.worstMs),
    owner: turn.work.owned !== null,
  });
  lag.loggedAtMs = turn.nowMs;
  lag.lateTicks = 0;
  lag.worstMs = 0;
};

/**
 * Handles a clock tick, either a regular one or one that the reducer requested.
 *
 * @param lateMs - How late a regular tick is; the lag of a requested one follows from its due time.
 */
export const clockTicked = (turn: Turn, lateMs: number | undefined): void => {
  const { work, nowMs } = turn;
  const requestedAtMs = work.wakeAtMs;
  if (requestedAtMs !== null && nowMs >= requestedAtMs) {
    work.wakeAtMs = null;
    recordLag(turn, Math.max(lateMs ?? 0, nowMs - requestedAtMs));
  } else if (lateMs !== undefined) {
    recordLag(turn, lateMs);
  }
};

/** Returns the minimum interval between two polls of a worker, in ms; it grows with the lag. */
export const pollGapMs = ({ lag }: WorkloadState): number =>
  Math.min(LEASE.MAX_POLL_GAP_MS, LEASE.POLL_GAP_MS + LEASE.POLL_GAP_LAG_FACTOR * lag.smoothedMs);
