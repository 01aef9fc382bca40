import { noteRefused } from "../admission/index.js";
import { answerCall, sendCallCommit, answerUnavailable } from "./callAnswers.js";
import { ANSWER_KIND, CALL_KIND, STORE, SUBMISSION_STATE } from "../constants.js";
import { countSteps } from "../handlingCost.js";
import type { WorkEvent } from "../events.js";
import { answerRefused, type Refusal } from "./refusals.js";
import { retryCallAt } from "./openCalls.js";
import type { OpenCall } from "../state.js";
import { hasEnded } from "../submissions/submissionStates.js";
import { adoptSubmission } from "../submissions/adoption.js";
import { cancelSubmission } from "../submissions/submissions.js";
import { logLine, newCommitId, type Turn } from "../turn.js";
import {
  NO_ROW,
  storeVersion,
  type StoreVersion,
  type SubmissionRow,
  type SubmissionId,
} from "../types.js";

const sameWork = (one: SubmissionRow, other: SubmissionRow): boolean =>
  one.queue === other.queue && JSON.stringify(one.work) === JSON.stringify(other.work);

const onSubmissionStored = (turn: Turn, call: OpenCall, version: number | null): void => {
  if (call.row !== null && version !== null) {
    adoptSubmission(turn, call.row, storeVersion(version), false);
  }
  answerCall(
    turn,
    { callId: call.arrival.callId, kind: ANSWER_KIND.ACCEPTED },
    { submission: call.id ?? "", storedVersion: version ?? 0 },
  );
};

const onAlreadyStored = (turn: Turn, call: OpenCall, stored: SubmissionRow): void => {
  const { callId } = call.arrival;
  if (call.row !== null && !sameWork(call.row, stored)) {
    const problem = "another body is stored under this id; hand in new work under a new id";
    answerCall(turn, { callId, kind: ANSWER_KIND.CONFLICT, problem }, { submission: stored.id });
    return;
  }
  answerCall(turn, { callId, kind: ANSWER_KIND.ACCEPTED }, { submission: stored.id, repeated: 1 });
};

const onCancelStored = (turn: Turn, call: OpenCall): void => {
  if (call.id !== null) {
    cancelSubmission(turn, call.id);
  }
  const kind = call.cancelsUnstored ? ANSWER_KIND.GONE : ANSWER_KIND.CANCELLED;
  answerCall(turn, { callId: call.arrival.callId, kind }, { submission: call.id ?? "" });
};

/**
 * Answers the call that waits for a write, or retries the write if its result is unknown.
 *
 * @returns Whether the write belonged to a call.
 */
export const callCommitSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const call = turn.work.callOfCommit.get(event.commitId);
  if (call === undefined) {
    return false;
  }
  const cancels = call.arrival.kind === CALL_KIND.CANCEL;
  switch (event.result) {
    case "committed":
      if (cancels) {
        onCancelStored(turn, call);
      } else {
        onSubmissionStored(turn, call, event.version);
      }
      return true;
    case "conflicted":
      onConflict(turn, call, event.rows);
      return true;
    case "rejected":
      onWriteRejected(turn, call, event.reason ?? "");
      return true;
    case "refused":
    case "unanswered":
      onWriteFailed(turn, call, event.result === "unanswered", event.reason ?? "");
      return true;
  }
};

const onConflict = (
  turn: Turn,
  call: OpenCall,
  rows: Extract<WorkEvent, { type: "store/commitSettled" }>["rows"],
): void => {
  const stored = rows.find((row) => row.type === "handIn");
  if (call.arrival.kind === CALL_KIND.CANCEL) {
    onCancelConflict(turn, call, stored?.version ?? null);
  } else if (stored !== undefined) {
    onAlreadyStored(turn, call, stored.submission);
  } else if (rows.some((row) => row.type === "cancel")) {
    onCancelledBefore(turn, call);
  } else {
    onWriteFailed(turn, call, true, "the stored row cannot be read");
  }
};

/** Answers a hand-in under an id that was cancelled before its submission was stored. */
const onCancelledBefore = (turn: Turn, call: OpenCall): void => {
  const problem = "this id was cancelled before its work was stored; hand it in under a new id";
  const { callId } = call.arrival;
  answerCall(turn, { callId, kind: ANSWER_KIND.GONE, problem }, { submission: call.id });
};

/**
 * Cancels a submission that was stored after it had been looked up. Otherwise the only condition was
 * that its row exists at its single version, so the row has been purged.
 *
 * @param version - Version of its row; null if the store has none.
 */
const onCancelConflict = (turn: Turn, call: OpenCall, version: StoreVersion | null): void => {
  const { callId } = call.arrival;
  if (!call.cancelsUnstored || call.id === null) {
    answerCall(turn, { callId, kind: ANSWER_KIND.GONE }, { submission: call.id });
  } else if (version === null) {
    onWriteFailed(turn, call, true, "the stored row cannot be read");
  } else {
    sendCancel(turn, call, call.id, version);
  }
};

/** Answers a call whose write the store will never accept, so that the caller doesn't repeat it. */
const onWriteRejected = (turn: Turn, call: OpenCall, reason: string): void => {
  const problem = `the store cannot hold this (${reason}); hand it in in smaller parts`;
  const { callId } = call.arrival;
  answerCall(turn, { callId, kind: ANSWER_KIND.TOO_LARGE, problem }, { submission: call.id });
};

const onWriteFailed = (turn: Turn, call: OpenCall, unanswered: boolean, reason: string): void => {
  call.uncertain ||= unanswered;
  logLine(turn, "warn", "submission.writeUnsettled", {
    submission: call.id,
    call: call.arrival.callId,
    uncertain: call.uncertain,
    reason,
  });
  if (call.uncertain) {
    retryCallAt(turn.work, call, turn.nowMs + STORE.COMMIT_RETRY_MS);
  } else {
    if (call.row !== null) {
      noteRefused(turn.work.admission, call.row.id, null, turn.nowMs);
    }
    answerUnavailable(turn, call.arrival.callId, `the store refused the write: ${reason}`);
  }
};

/** Answers a hand-in that is refused, or that repeats one that was accepted before. */
const refuseUnlessStored = (
  turn: Turn,
  call: OpenCall,
  refusal: Refusal,
  { stored, cancelled }: Extract<WorkEvent, { type: "store/lookedUp" }>,
): void => {
  if (stored !== null) {
    onAlreadyStored(turn, call, stored.row);
  } else if (cancelled) {
    onCancelledBefore(turn, call);
  } else {
    answerRefused(turn, call, refusal);
  }
};

/** Answers a call, or stores its cancel, by the rows that the store holds for its submission. */
export const callLookedUp = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/lookedUp" }>,
): void => {
  const call = turn.work.calls.get(event.callId);
  if (call?.id == null) {
    return;
  }
  const { callId } = event;
  const submission = call.id;
  if (call.arrival.kind === CALL_KIND.CANCEL) {
    storeCancel(turn, call, submission, event);
  } else if (call.refusal !== null) {
    refuseUnlessStored(turn, call, call.refusal, event);
  } else if (event.stored === null) {
    answerCall(turn, { callId, kind: ANSWER_KIND.GONE }, { submission });
  } else {
    const storedState = event.progress?.state ?? SUBMISSION_STATE.QUEUED;
    const state =
      event.cancelled &&
      (storedState === SUBMISSION_STATE.QUEUED || storedState === SUBMISSION_STATE.RUNNING)
        ? SUBMISSION_STATE.CANCELLED
        : storedState;
    const obstacle = hasEnded(state) ? undefined : event.progress?.obstacle;
    answerCall(
      turn,
      {
        callId,
        kind: ANSWER_KIND.STATE,
        state,
        ...(obstacle === undefined ? {} : { reason: obstacle }),
      },
      { submission, from: "store" },
    );
  }
};

/**
 * Sends the write of a cancel.
 *
 * @param version - Version of the submission's row; `NO_ROW` if it is not stored. A hand-in of it may
 *   still be on its way to the store then, which accepts none after the cancel.
 */
const sendCancel = (turn: Turn, call: OpenCall, id: SubmissionId, version: StoreVersion): void => {
  call.cancelsUnstored = version === NO_ROW;
  sendCallCommit(turn, call, {
    commitId: newCommitId(turn.work),
    conditions: [{ row: { type: "handIn", id }, version }],
    writes: [{ type: "cancel", id }],
    removes: [],
  });
};

/** Stores a cancel, unless the store holds it already or the submission has ended. */
const storeCancel = (
  turn: Turn,
  call: OpenCall,
  id: SubmissionId,
  { callId, stored, cancelled, progress }: Extract<WorkEvent, { type: "store/lookedUp" }>,
): void => {
  const ended = progress !== null && hasEnded(progress.state);
  if (cancelled || (ended && stored !== null)) {
    const kind = stored === null ? ANSWER_KIND.GONE : ANSWER_KIND.CANCELLED;
    answerCall(turn, { callId, kind }, { submission: id, repeated: 1 });
  } else {
    sendCancel(turn, call, id, stored?.version ?? NO_ROW);
  }
};

/** Answers a call whose submission could not be read from the store. */
export const callLookUpFailed = (turn: Turn, callId: string, reason: string): void => {
  if (turn.work.calls.has(callId)) {
    answerUnavailable(turn, callId, `the store did not tell: ${reason}`);
  }
};

/** Retries writes of unknown result and answers calls whose deadline has passed. */
export const tickCalls = (turn: Turn): void => {
  const { work, nowMs } = turn;
  for (const call of work.callsDue.takeDue(nowMs)) {
    countSteps(turn, 1);
    if (nowMs >= call.answerByMs) {
      const { callId } = call.arrival;
      const problem = "the store did not confirm the write in time";
      if (call.commit === null) {
        answerUnavailable(turn, callId, "the store did not answer in time");
      } else {
        answerCall(
          turn,
          { callId, kind: ANSWER_KIND.UNKNOWN, problem },
          { submission: call.id ?? "" },
        );
      }
    } else if (call.commit !== null) {
      sendCallCommit(turn, call, call.commit);
    }
  }
};
