import { ALLOWANCE } from "./constants.js";

/** What a team may still hand in at its rate. */
export interface Allowance {
  left: number;
  atMs: number;
}

/**
 * Takes one submission off a team's allowance, which refills at the team's weight a second.
 *
 * @param allowance - Changed in place.
 * @param weight - Submissions a second that the team has a right to.
 * @param nowMs - Present time.
 * @returns Whether the submission is within the team's right.
 */
export const takeAllowance = (allowance: Allowance, weight: number, nowMs: number): boolean => {
  const most = Math.max(1, weight * ALLOWANCE.BURST_S);
  const gained = ((nowMs - allowance.atMs) / 1_000) * weight;
  allowance.left = Math.min(most, allowance.left + gained);
  allowance.atMs = nowMs;
  if (allowance.left < 1) {
    return false;
  }
  allowance.left -= 1;
  return true;
};
