import { CLOCK_JUMP } from "./constants.js";
import { logLine, type Turn } from "./turn.js";

/**
 * Detects a suspension of the machine as a jump between the wall clock and the monotonic clock,
 * which stands still during it. After a jump, no view and no ownership counts as fresh until it is
 * confirmed again.
 */
export const detectClockJump = (turn: Turn, wallMs: number): void => {
  const { work, nowMs } = turn;
  const offsetMs = wallMs - nowMs;
  const jumpMs = work.wallOffsetMs === null ? 0 : offsetMs - work.wallOffsetMs;
  work.wallOffsetMs = offsetMs;
  if (Math.abs(jumpMs) <= CLOCK_JUMP.TOLERANCE_MS) {
    return;
  }
  logLine(turn, "warn", "clock.jumped", { byMs: Math.round(jumpMs) });
  work.clockJumpedAtMs = nowMs;
  work.ownerView.unchangedSinceMs = nowMs;
  work.ownerView.viewAtMs = null;
  for (const feed of Object.values(work.feeds)) {
    feed.viewAtMs = null;
  }
  if (work.owned !== null) {
    work.owned.confirmedAtMs = -Infinity;
    work.owned.needsRenewal = true;
  }
};
