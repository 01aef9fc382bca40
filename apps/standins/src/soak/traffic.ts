import { nextFraction } from "../random.js";
import { FAULT, SOAK } from "./constants.js";
import { drawTeam, drawWork, nextSubmissionId, strengthOf } from "./drawWork.js";
import type { KindPlan, SoakEffect, SoakState, SubmissionRecord } from "./types.js";

const THOUSANDTHS = 1_000;
const CANCEL_SPREAD_MS = 4_000;

const newSubmission = (state: SoakState, kind: KindPlan): SubmissionRecord => ({
  id: nextSubmissionId(state),
  kind,
  team: drawTeam(state),
  work: drawWork(state, kind),
  acceptedAtMs: null,
  cancelAtMs: null,
  cancelled: false,
  items: new Map(),
  runningCount: 0,
  doneCount: 0,
  exhausted: false,
  starvedSinceMs: null,
  longestStarvedMs: 0,
  isReported: false,
});

/** Returns the factor on the rate of a kind: high in its turn, low in that of the others. */
const turnFactor = ({ plan, startedAtMs }: SoakState, kind: KindPlan, atMs: number): number => {
  if (kind.turn === null) {
    return 1;
  }
  const turns = Math.max(...plan.kinds.map(({ turn }) => turn ?? 0)) + 1;
  const turn = Math.floor((atMs - startedAtMs) / plan.turnMs) % turns;
  return turn === kind.turn ? plan.turnFactor : plan.restFactor;
};

/** Returns the factor on all rates. */
const faultFactor = (state: SoakState): number => {
  const surge = Math.max(1, strengthOf(state, FAULT.SURGE));
  const busy = strengthOf(state, FAULT.BUSY_TEAM);
  const shares = state.plan.teams.reduce((sum, { share }) => sum + share, 0);
  const busyShare = (state.plan.teams[0]?.share ?? 0) / Math.max(shares, 1);
  return surge * (busy > 1 ? 1 + busyShare * (busy - 1) : 1);
};

/** Sends the submissions that are due since the last tick. */
export const sendDue = (state: SoakState, atMs: number, effects: SoakEffect[]): void => {
  const factor = faultFactor(state);
  state.plan.kinds.forEach((kind, index) => {
    const rate = kind.perSecond * turnFactor(state, kind, atMs) * factor;
    const due = (state.dueThousandths[index] ?? 0) + rate * (atMs - state.tickedAtMs);
    state.dueThousandths[index] = due % THOUSANDTHS;
    for (let count = Math.floor(due / THOUSANDTHS); count > 0; count -= 1) {
      const submission = newSubmission(state, kind);
      state.submissions.set(submission.id, submission);
      effects.push({ type: "submission/send", submission });
    }
  });
};

/** Notes that a submission was accepted, and draws whether and when it is cancelled. */
export const noteAccepted = (
  state: SoakState,
  submission: SubmissionRecord,
  atMs: number,
): void => {
  submission.acceptedAtMs = atMs;
  if (nextFraction(state.random) < submission.kind.cancelledShare) {
    const laterMs = Math.floor(nextFraction(state.random) * CANCEL_SPREAD_MS);
    submission.cancelAtMs = atMs + SOAK.CANCEL_AFTER_MS + laterMs;
  }
};

const cancel = (submission: SubmissionRecord, effects: SoakEffect[]): void => {
  submission.cancelled = true;
  effects.push({ type: "submission/cancel", submission });
};

/** Cancels the submissions whose time has come. */
export const cancelDue = (state: SoakState, atMs: number, effects: SoakEffect[]): void => {
  for (const submission of state.submissions.values()) {
    if (!submission.cancelled && submission.cancelAtMs !== null && submission.cancelAtMs <= atMs) {
      cancel(submission, effects);
    }
  }
};

/** Cancels a share of the submissions that were accepted so far. */
export const cancelMany = (state: SoakState, share: number, effects: SoakEffect[]): void => {
  for (const submission of state.submissions.values()) {
    const isOpen = submission.acceptedAtMs !== null && !submission.cancelled;
    if (isOpen && nextFraction(state.random) < share) {
      cancel(submission, effects);
    }
  }
};
