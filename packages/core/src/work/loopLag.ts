import { CLOCK_TURN } from "./constants.js";
import { logLine, type Turn } from "./turn.js";

/** Notes how late a turn of the clock is handled; a line a second tells of late ones. */
export const noteLag = (turn: Turn, lateMs: number): void => {
  const { lag } = turn.work;
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
  turn.work.lag = { loggedAtMs: turn.nowMs, turns: 0, worstMs: 0 };
};
