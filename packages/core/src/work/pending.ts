import { SUBMISSION_STATE } from "./constants.js";
import type { Turn } from "./turn.js";

/** @returns Accepted submissions without a started item, by queue. */
export const pendingByQueue = (turn: Turn): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const submission of turn.work.owned?.submissions.values() ?? []) {
    if (submission.state === SUBMISSION_STATE.QUEUED) {
      const { queue } = submission.handIn;
      counts[queue] = (counts[queue] ?? 0) + 1;
    }
  }
  return counts;
};
