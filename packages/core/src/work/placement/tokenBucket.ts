import { TOKEN_BUCKET } from "../constants.js";

/** Token bucket that limits the submission rate of a team. */
export interface TokenBucket {
  /** Submissions that the team may still make within its rate. */
  tokens: number;
  /** When the tokens were last refilled. */
  refilledAtMs: number;
}

/**
 * Refills a team's token bucket at the team's weight and takes one token for a submission.
 *
 * @param bucket - Changed in place.
 * @param weight - Submissions per second that the team is entitled to.
 * @param nowMs - Present time.
 * @param burstS - Capacity, as the time that it takes to fill.
 * @returns Whether a token was left, so that the submission is within the team's rate.
 */
export const takeToken = (
  bucket: TokenBucket,
  weight: number,
  nowMs: number,
  burstS: number = TOKEN_BUCKET.BURST_S,
): boolean => {
  const capacity = Math.max(1, weight * burstS);
  const refill = ((nowMs - bucket.refilledAtMs) / 1_000) * weight;
  bucket.tokens = Math.min(capacity, bucket.tokens + refill);
  bucket.refilledAtMs = nowMs;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
};
