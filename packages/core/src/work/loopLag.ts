import { CLOCK_TURN, LEASE } from "./constants.js";
import type { WorkloadState } from "./state.js";
import { logLine, type Turn } from "./turn.js";

/** Notes how late a turn of the clock is handled; a line a second tells of late ones. */
const noteLag = (turn: Turn, lateMs: number): void => {
  const { lag } = turn.work;
  lag.recentMs = lag.recentMs * CLOCK_TURN.LAG_KEPT + lateMs * (1 - CLOCK_TURN.LAG_KEPT);
  if (lateMs < CLOCK_TURN.LATE_MS) {
    return;
  }
  lag.turns += 1;
  lag.worstMs = Math.max(lag.worstMs, lateMs);
  if (turn.nowMs - lag.loggedAtMs < CLOCK_TURN.LATE_LOG_GAP_MS) {
    return;
  }
  logLine(turn, "warn", "loop.lagged", {
    turns: lag.turns,
    worstMs: Math.round(lag.worstMs),
    owner: turn.work.owned !== null,
  });
  lag.loggedAtMs = turn.nowMs;
  lag.turns = 0;
  lag.worstMs = 0;
};

/**
 * Takes a turn of the clock: a regular one, or one that was asked for.
 *
 * @param lateMs - How late a regular turn is; what was asked for tells by the time that it was for.
 */
export const clockTurned = (turn: Turn, lateMs: number | undefined): void => {
  const { work, nowMs } = turn;
  const askedForMs = work.wakeAtMs;
  if (askedForMs !== null && nowMs >= askedForMs) {
    work.wakeAtMs = null;
    noteLag(turn, Math.max(lateMs ?? 0, nowMs - askedForMs));
  } else if (lateMs !== undefined) {
    noteLag(turn, lateMs);
  }
};

/** @returns How long a worker is not looked at after a look, in ms. */
export const lookGapMs = ({ lag }: WorkloadState): number =>
  Math.min(LEASE.MOST_LOOK_GAP_MS, LEASE.LOOK_GAP_MS + LEASE.GAP_FOR_LAG * lag.recentMs);
