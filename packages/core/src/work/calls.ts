import type { QueueId } from "@heatherferry/common";
import { catalogAgeMs, findQueue, mayHonourKeys, teamOfKey } from "./catalog.js";
import { ANSWER_KIND, CALL, CALL_KIND, SUBMISSION_STATE, STORE } from "./constants.js";
import type { CallAnswer, CallArrival, Commit, WorkEvent } from "./events.js";
import { adoptHandIn, cancelOwned } from "./submissions.js";
import type { OpenCall } from "./state.js";
import { logLine, newCommitId, type Turn } from "./turn.js";
import {
  storeVersion,
  submissionId,
  type HandIn,
  type Queue,
  type SubmissionId,
  type Team,
} from "./types.js";

const ID_PATTERN = /^[0-9a-f]{16}$/u;

const answer = (turn: Turn, call: CallAnswer, inputs: Record<string, string | number> = {}): void => {
  turn.work.calls.delete(call.callId);
  turn.effects.push({ type: "call/answer", ...call });
  const level =
    call.kind === ANSWER_KIND.UNKNOWN || call.kind === ANSWER_KIND.UNAVAILABLE ? "warn" : "info";
  logLine(turn, level, "call.answered", {
    call: call.callId,
    outcome: call.kind,
    ...(call.state === undefined ? {} : { state: call.state }),
    ...(call.problem === undefined ? {} : { problem: call.problem }),
    revision: turn.work.catalog?.revision ?? null,
    ...inputs,
  });
};

const unavailable = (turn: Turn, callId: string, problem: string): void => {
  answer(
    turn,
    { callId, kind: ANSWER_KIND.UNAVAILABLE, retryAfterMs: CALL.RETRY_AFTER_MS, problem },
    { viewAgeMs: Math.round(Math.min(catalogAgeMs(turn), Number.MAX_SAFE_INTEGER)) },
  );
};

/** Sends, or sends again, the write that a call waits for. */
const sendCommit = (turn: Turn, call: OpenCall, commit: Commit): void => {
  call.commit = commit;
  call.retryAtMs = null;
  turn.effects.push({ type: "store/commit", ...commit });
};

const newHandIn = (
  turn: Turn,
  arrival: CallArrival,
  id: SubmissionId,
  queue: Queue,
  team: Team | null,
): HandIn | null =>
  arrival.work === null
    ? null
    : {
        id,
        queue: queue.id,
        pool: queue.pool,
        team: team?.id ?? null,
        acceptedWallMs: Math.round(turn.wallMs),
        work: arrival.work,
      };

const openCall = (turn: Turn, arrival: CallArrival, id: SubmissionId, handIn: HandIn | null): OpenCall => {
  const waitMs = arrival.waitMs ?? CALL.DEFAULT_WAIT_MS;
  const call: OpenCall = {
    arrival,
    arrivedAtMs: turn.nowMs,
    answerByMs: turn.nowMs + Math.max(CALL.ANSWER_MARGIN_MS, waitMs - CALL.ANSWER_MARGIN_MS),
    id,
    handIn,
    commit: null,
    uncertain: false,
    retryAtMs: null,
  };
  turn.work.calls.set(arrival.callId, call);
  return call;
};

const handIn = (turn: Turn, arrival: CallArrival, id: SubmissionId, queue: Queue, team: Team | null): void => {
  const { callId } = arrival;
  const row = newHandIn(turn, arrival, id, queue, team);
  if (row === null) {
    const problem = arrival.problem ?? "the body holds no work";
    answer(turn, { callId, kind: ANSWER_KIND.BAD_REQUEST, problem }, { submission: id });
    return;
  }
  if (turn.work.storeLost) {
    unavailable(turn, callId, "the store does not answer");
    return;
  }
  logLine(turn, "info", "submission.arrived", {
    submission: id,
    call: callId,
    queue: queue.id,
    team: team?.id ?? null,
    steps: row.work.steps.length,
  });
  sendCommit(turn, openCall(turn, arrival, id, row), {
    commitId: newCommitId(turn.work),
    conditions: [{ row: { type: "handIn", id }, version: storeVersion(0) }],
    writes: [{ type: "handIn", handIn: row }],
    removes: [],
  });
};

const lookUp = (turn: Turn, arrival: CallArrival, id: SubmissionId): void => {
  if (turn.work.storeLost) {
    unavailable(turn, arrival.callId, "the store does not answer");
    return;
  }
  openCall(turn, arrival, id, null);
  turn.effects.push({ type: "store/lookUp", callId: arrival.callId, id });
};

const stateOf = (turn: Turn, arrival: CallArrival, id: SubmissionId): void => {
  const owned = turn.work.owned?.active === true ? turn.work.owned.submissions.get(id) : undefined;
  if (owned === undefined) {
    lookUp(turn, arrival, id);
    return;
  }
  answer(turn, { callId: arrival.callId, kind: ANSWER_KIND.STATE, state: owned.shownState }, {
    submission: id,
    from: "owner",
  });
};

const pendingOf = (turn: Turn, callId: string, queue: QueueId): void => {
  const { owned, ownerView } = turn.work;
  if (owned?.active === true) {
    const pending = pendingByQueue(turn)[queue] ?? 0;
    answer(turn, { callId, kind: ANSWER_KIND.PENDING, pending }, { queue, from: "owner" });
    return;
  }
  const ageMs = ownerView.viewAtMs === null ? Infinity : turn.nowMs - ownerView.viewAtMs;
  if (ownerView.row === null || ageMs > STORE.LOST_MS) {
    unavailable(turn, callId, "no fresh view of the owner's row");
    return;
  }
  const pending = ownerView.row.pending[queue] ?? 0;
  answer(turn, { callId, kind: ANSWER_KIND.PENDING, pending }, { queue, viewAgeMs: Math.round(ageMs) });
};

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

const authorise = (turn: Turn, arrival: CallArrival, queue: Queue): Team | null | "refused" => {
  const { callId } = arrival;
  if (queue.openToAll) {
    return teamOfKey(turn, arrival.key);
  }
  if (!mayHonourKeys(turn)) {
    unavailable(turn, callId, "the view of the keys is too old");
    return "refused";
  }
  const team = teamOfKey(turn, arrival.key);
  if (team === null) {
    const problem = arrival.key === null ? "no key" : "unknown key";
    answer(turn, { callId, kind: ANSWER_KIND.NOT_AUTHORISED, problem }, { queue: queue.id });
    return "refused";
  }
  return team;
};

const serve = (turn: Turn, arrival: CallArrival, queue: Queue, team: Team | null): void => {
  const { callId, kind } = arrival;
  const rest = arrival.path.slice(queue.pathPrefix.length);
  if (kind === CALL_KIND.PENDING && rest === "") {
    pendingOf(turn, callId, queue.id);
    return;
  }
  if (!ID_PATTERN.test(rest) || kind === CALL_KIND.UNSUPPORTED) {
    const problem = `${arrival.path} names no submission; an id is 16 hexadecimal digits`;
    answer(turn, { callId, kind: ANSWER_KIND.BAD_REQUEST, problem });
    return;
  }
  const id = submissionId(rest);
  if (kind === CALL_KIND.SUBMIT) {
    handIn(turn, arrival, id, queue, team);
  } else if (kind === CALL_KIND.CANCEL) {
    lookUp(turn, arrival, id);
  } else {
    stateOf(turn, arrival, id);
  }
};

/** Decides on a call as it arrives. */
export const callArrived = (turn: Turn, arrival: CallArrival): void => {
  const { callId } = arrival;
  const { catalog } = turn.work;
  if (catalog === null) {
    unavailable(turn, callId, "no catalog yet");
    return;
  }
  const queue = findQueue(catalog, arrival.callerHost, arrival.path);
  if (queue === null) {
    answer(turn, { callId, kind: ANSWER_KIND.NO_SUCH_QUEUE }, { path: arrival.path });
    return;
  }
  if (arrival.bodyBytes > catalog.maxBodyBytes) {
    const problem = `the body is larger than ${catalog.maxBodyBytes} bytes`;
    answer(turn, { callId, kind: ANSWER_KIND.TOO_LARGE, problem });
    return;
  }
  const team = authorise(turn, arrival, queue);
  if (team !== "refused") {
    serve(turn, arrival, queue, team);
  }
};

const sameWork = (one: HandIn, other: HandIn): boolean =>
  one.queue === other.queue && JSON.stringify(one.work) === JSON.stringify(other.work);

const onStored = (turn: Turn, call: OpenCall, version: number | null): void => {
  if (call.handIn !== null && version !== null) {
    adoptHandIn(turn, call.handIn, storeVersion(version), false);
  }
  answer(
    turn,
    { callId: call.arrival.callId, kind: ANSWER_KIND.ACCEPTED },
    { submission: call.id ?? "", storedVersion: version ?? 0 },
  );
};

const onExists = (turn: Turn, call: OpenCall, stored: HandIn): void => {
  const { callId } = call.arrival;
  if (call.handIn !== null && !sameWork(call.handIn, stored)) {
    const problem = "another body is stored under this id; hand in new work under a new id";
    answer(turn, { callId, kind: ANSWER_KIND.CONFLICT, problem }, { submission: stored.id });
    return;
  }
  answer(turn, { callId, kind: ANSWER_KIND.ACCEPTED }, { submission: stored.id, repeated: 1 });
};

const onCancelStored = (turn: Turn, call: OpenCall): void => {
  if (call.id !== null) {
    cancelOwned(turn, call.id);
  }
  answer(
    turn,
    { callId: call.arrival.callId, kind: ANSWER_KIND.CANCELLED },
    { submission: call.id ?? "" },
  );
};

/** Takes the end of a write that a call waits for. */
export const callCommitSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const call = [...turn.work.calls.values()].find(
    ({ commit }) => commit?.commitId === event.commitId,
  );
  if (call === undefined) {
    return false;
  }
  const cancels = call.arrival.kind === CALL_KIND.CANCEL;
  switch (event.result) {
    case "committed":
      if (cancels) {
        onCancelStored(turn, call);
      } else {
        onStored(turn, call, event.version);
      }
      return true;
    case "conflicted":
      onConflict(turn, call, event.rows);
      return true;
    case "refused":
    case "unanswered":
      onUnsettled(turn, call, event.result === "unanswered", event.reason ?? "");
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
    // The only condition is that the hand-in exists at its one version, so it was forgotten.
    answer(turn, { callId: call.arrival.callId, kind: ANSWER_KIND.GONE }, { submission: call.id ?? "" });
  } else if (stored !== undefined) {
    onExists(turn, call, stored.handIn);
  } else {
    onUnsettled(turn, call, true, "the stored row cannot be read");
  }
};

const onUnsettled = (turn: Turn, call: OpenCall, unanswered: boolean, reason: string): void => {
  call.uncertain ||= unanswered;
  logLine(turn, "warn", "submission.writeUnsettled", {
    submission: call.id,
    call: call.arrival.callId,
    uncertain: call.uncertain,
    reason,
  });
  if (call.uncertain) {
    call.retryAtMs = turn.nowMs + STORE.COMMIT_RETRY_MS;
  } else {
    unavailable(turn, call.arrival.callId, `the store refused the write: ${reason}`);
  }
};

/** Takes what the store knows of a submission that a call asked for. */
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
  if (event.handIn === null) {
    answer(turn, { callId, kind: ANSWER_KIND.GONE }, { submission });
  } else if (call.arrival.kind === CALL_KIND.CANCEL) {
    cancelStored(turn, call, submission, event);
  } else {
    const progress = event.progress?.state ?? SUBMISSION_STATE.QUEUED;
    const state =
      event.cancelled &&
      (progress === SUBMISSION_STATE.QUEUED || progress === SUBMISSION_STATE.RUNNING)
        ? SUBMISSION_STATE.CANCELLED
        : progress;
    answer(turn, { callId, kind: ANSWER_KIND.STATE, state }, { submission, from: "store" });
  }
};

const cancelStored = (
  turn: Turn,
  call: OpenCall,
  id: SubmissionId,
  event: Extract<WorkEvent, { type: "store/lookedUp" }>,
): void => {
  const ended =
    event.progress !== null &&
    event.progress.state !== SUBMISSION_STATE.QUEUED &&
    event.progress.state !== SUBMISSION_STATE.RUNNING;
  if (event.cancelled || ended || event.handIn === null) {
    answer(turn, { callId: event.callId, kind: ANSWER_KIND.CANCELLED }, { submission: id, repeated: 1 });
    return;
  }
  sendCommit(turn, call, {
    commitId: newCommitId(turn.work),
    conditions: [{ row: { type: "handIn", id }, version: event.handIn.version }],
    writes: [{ type: "cancel", id }],
    removes: [],
  });
};

export const callLookUpFailed = (turn: Turn, callId: string, reason: string): void => {
  if (turn.work.calls.has(callId)) {
    unavailable(turn, callId, `the store did not tell: ${reason}`);
  }
};

/** Sends unsettled writes again and gives up calls whose time is over. */
export const tickCalls = (turn: Turn): void => {
  const { work, nowMs } = turn;
  for (const call of work.calls.values()) {
    if (nowMs >= call.answerByMs) {
      const { callId } = call.arrival;
      const problem = "the store did not confirm the write in time";
      if (call.commit === null) {
        unavailable(turn, callId, "the store did not answer in time");
      } else {
        answer(turn, { callId, kind: ANSWER_KIND.UNKNOWN, problem }, { submission: call.id ?? "" });
      }
    } else if (call.retryAtMs !== null && nowMs >= call.retryAtMs && call.commit !== null) {
      sendCommit(turn, call, call.commit);
    }
  }
};

/** The caller hung up; a write under way is settled by itself. */
export const callAbandoned = (turn: Turn, callId: string): void => {
  const call = turn.work.calls.get(callId);
  if (call !== undefined) {
    turn.work.calls.delete(callId);
    logLine(turn, "info", "call.abandoned", { call: callId, submission: call.id });
  }
};
