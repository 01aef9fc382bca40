import type { QueueId } from "@heatherferry/common";
import { answerCall, sendCallCommit, answerUnavailable } from "./callAnswers.js";
import { noteRefused } from "../admission/index.js";
import { checkHead, quotedPath, type HeadRefusal } from "./callHead.js";
import { ANSWER_KIND, CALL, CALL_KIND, UNREAD_BODY } from "../constants.js";
import type { CallArrival, UnreadBody } from "../events.js";
import { obstacleOf } from "../submissions/obstacles.js";
import { addCall, closeCall } from "./openCalls.js";
import { pendingOfQueue } from "./pendingCount.js";
import type { OpenCall } from "../state.js";
import { isStoreUnreachable } from "./storeReach.js";
import { hasOpenWrite, memoryRefusal, overloadRefusal, withRefusedBefore } from "./refusals.js";
import { hasEnded } from "../submissions/submissionStates.js";
import { limitExceededBy } from "./submissionLimits.js";
import { logLine, newCommitId, type Turn } from "../turn.js";
import {
  NO_ROW,
  submissionId,
  type SubmissionRow,
  type Queue,
  type SubmissionId,
  type Team,
} from "../types.js";

const ID_PATTERN = /^[0-9a-f]{16}$/u;

const UNREAD_PROBLEM: Readonly<Record<UnreadBody, string>> = {
  [UNREAD_BODY.NO_ROOM]: "too many bodies are being read or wait for the store",
  [UNREAD_BODY.TOO_SLOW]: "the body did not arrive in time",
};

const newSubmissionRow = (
  turn: Turn,
  arrival: CallArrival,
  id: SubmissionId,
  queue: Queue,
  team: Team | null,
): SubmissionRow | null =>
  arrival.work === null
    ? null
    : {
        id,
        queue: queue.id,
        pool: queue.pool,
        team: team?.id ?? null,
        acceptedWallMs: Math.round(turn.wallMs),
        maxAttempts: queue.maxAttempts,
        work: arrival.work,
      };

const openCall = (
  turn: Turn,
  arrival: CallArrival,
  id: SubmissionId,
  row: SubmissionRow | null,
): OpenCall => {
  const waitMs = arrival.waitMs ?? CALL.DEFAULT_WAIT_MS;
  const call: OpenCall = {
    arrival,
    answerByMs: turn.nowMs + Math.max(CALL.ANSWER_MARGIN_MS, waitMs - CALL.ANSWER_MARGIN_MS),
    id,
    row,
    cancelsUnstored: false,
    refusal: null,
    commit: null,
    uncertain: false,
    retryAtMs: null,
  };
  addCall(turn.work, call);
  return call;
};

/** Stores a submission, after which its caller is told that it is accepted. */
const storeSubmission = (turn: Turn, arrival: CallArrival, row: SubmissionRow): void => {
  const { id } = row;
  const submission = withRefusedBefore(turn, row);
  logLine(turn, "info", "submission.arrived", {
    submission: id,
    call: arrival.callId,
    queue: row.queue,
    team: row.team,
    steps: row.work.steps.length,
  });
  sendCallCommit(turn, openCall(turn, arrival, id, submission), {
    commitId: newCommitId(turn.work),
    // A write that the store carries out late must not revive a submission that was cancelled.
    conditions: [
      { row: { type: "handIn", id }, version: NO_ROW },
      { row: { type: "cancel", id }, version: NO_ROW },
    ],
    writes: [{ type: "handIn", submission }],
    removes: [],
  });
};

/** Accepts a submission or refuses it, by the state of the store and of the line before it. */
const admit = (
  turn: Turn,
  arrival: CallArrival,
  row: SubmissionRow,
  queue: Queue,
  team: Team | null,
): void => {
  const { callId } = arrival;
  const unreachable = isStoreUnreachable(turn);
  const refusal = unreachable
    ? null
    : (overloadRefusal(turn, row, queue, team) ?? memoryRefusal(turn, row));
  // A refusal would be untrue if the store still carries out an earlier write.
  if ((!unreachable && refusal === null) || hasOpenWrite(turn.work, row.id)) {
    storeSubmission(turn, arrival, row);
  } else if (refusal === null) {
    noteRefused(turn.work.admission, row.id, null, turn.nowMs);
    answerUnavailable(turn, callId, "the store does not answer");
  } else {
    openCall(turn, arrival, row.id, row).refusal = refusal;
    turn.effects.push({ type: "store/lookUp", callId, id: row.id });
  }
};

const submit = (
  turn: Turn,
  arrival: CallArrival,
  id: SubmissionId,
  queue: Queue,
  team: Team | null,
): void => {
  const { callId } = arrival;
  const row = newSubmissionRow(turn, arrival, id, queue, team);
  if (row === null) {
    const problem = arrival.problem ?? "the body holds no work";
    answerCall(turn, { callId, kind: ANSWER_KIND.BAD_REQUEST, problem }, { submission: id });
    return;
  }
  const problem = limitExceededBy(row);
  if (problem !== null) {
    answerCall(turn, { callId, kind: ANSWER_KIND.TOO_LARGE, problem }, { submission: id });
    return;
  }
  admit(turn, arrival, row, queue, team);
};

const lookUp = (turn: Turn, arrival: CallArrival, id: SubmissionId): void => {
  if (turn.work.storeLost) {
    answerUnavailable(turn, arrival.callId, "the store does not answer");
    return;
  }
  openCall(turn, arrival, id, null);
  turn.effects.push({ type: "store/lookUp", callId: arrival.callId, id });
};

const answerState = (turn: Turn, arrival: CallArrival, id: SubmissionId): void => {
  const submission =
    turn.work.owned?.active === true ? turn.work.owned.submissions.get(id) : undefined;
  if (submission === undefined) {
    lookUp(turn, arrival, id);
    return;
  }
  const obstacle = hasEnded(submission.reportedState) ? null : obstacleOf(submission);
  answerCall(
    turn,
    {
      callId: arrival.callId,
      kind: ANSWER_KIND.STATE,
      state: submission.reportedState,
      ...(obstacle === null ? {} : { reason: obstacle }),
    },
    {
      submission: id,
      from: "owner",
    },
  );
};

const answerPending = (turn: Turn, callId: string, queue: QueueId): void => {
  const pending = pendingOfQueue(turn, queue);
  if (pending === null) {
    answerUnavailable(turn, callId, "no count of what waits is young enough");
    return;
  }
  const from = turn.work.owned?.active === true ? "owner" : "row";
  answerCall(turn, { callId, kind: ANSWER_KIND.PENDING, pending }, { queue, from });
};

const serve = (turn: Turn, arrival: CallArrival, queue: Queue, team: Team | null): void => {
  const { callId, kind } = arrival;
  const rest = arrival.path.slice(queue.pathPrefix.length);
  if (kind === CALL_KIND.PENDING && rest === "") {
    answerPending(turn, callId, queue.id);
    return;
  }
  if (!ID_PATTERN.test(rest) || kind === CALL_KIND.UNSUPPORTED) {
    const problem = `${quotedPath(arrival)} names no submission; an id is 16 hexadecimal digits`;
    answerCall(turn, { callId, kind: ANSWER_KIND.BAD_REQUEST, problem });
    return;
  }
  const id = submissionId(rest);
  if (kind === CALL_KIND.SUBMIT) {
    submit(turn, arrival, id, queue, team);
  } else if (kind === CALL_KIND.CANCEL) {
    lookUp(turn, arrival, id);
  } else {
    answerState(turn, arrival, id);
  }
};

const refuseHead = (turn: Turn, callId: string, refusal: HeadRefusal): void => {
  if (refusal.type === "unavailable") {
    answerUnavailable(turn, callId, refusal.problem);
  } else {
    answerCall(turn, { ...refusal.answer, callId }, refusal.inputs);
  }
};

/** Authorises a call and answers it, or opens it until the store has answered. */
export const callArrived = (turn: Turn, arrival: CallArrival): void => {
  const { callId, unread } = arrival;
  const head = checkHead(turn, arrival, arrival.bodyBytes);
  if (head.type !== "accepted") {
    refuseHead(turn, callId, head);
  } else if (unread !== undefined) {
    answerUnavailable(turn, callId, UNREAD_PROBLEM[unread]);
  } else {
    serve(turn, arrival, head.queue, head.team);
  }
};

/** Closes a call whose caller has disconnected. A write in flight is not undone. */
export const callAbandoned = (turn: Turn, callId: string): void => {
  const call = closeCall(turn.work, callId);
  if (call !== undefined) {
    logLine(turn, "info", "call.abandoned", { call: callId, submission: call.id });
  }
};
