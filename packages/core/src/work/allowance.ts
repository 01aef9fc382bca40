import { ALLOWANCE } from "./constants.js";

/** Token bucket that limits the submission rate of a team. */
export interface Allowance {
  /** Submissions that the team may still make within its rate. */
  left: number;
  /** When the tokens were last refilled. */
  atMs: number;
}

/**
 * Refills a team's token bucket at the team's weight and takes one token for a submission.
 *
 * @param bucket - Changed in place.
 * @param weight - Submissions per second that the team is entitled to.
 * @param nowMs - Present time.
 * @returns Whether a token was left, so that the submission is within the team's rate.
 */
export const takeAllowance = (bucket: Allowance, weight: number, nowMs: number): boolean => {
  const capacity = Math.max(1, weight * ALLOWANCE.BURST_S);
  const refill = ((nowMs - bucket.atMs) / 1_000) * weight;
  bucket.left = Math.min(capacity, bucket.left + refill);
  bucket.atMs = nowMs;
  if (bucket.left < 1) {
    return false;
  }
  bucket.left -= 1;
  return true;
};
