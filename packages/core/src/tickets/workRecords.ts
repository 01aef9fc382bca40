import type { RequestId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { OUTCOME, REFUSAL_KIND } from "../requests/constants.js";
import { refuse, unknownRefusal } from "../requests/refusals.js";
import type { Refusal } from "../requests/types.js";
import type { State } from "../state.js";
import { TICKETS, WORK_STATE } from "./constants.js";
import type { TicketsState, WorkRecord, WorkState } from "./types.js";

export const initialTickets = (): TicketsState => ({
  nextTicketSequence: 0,
  usedSequences: new Map(),
  workRecords: new Map(),
  workByRequest: new Map(),
  claimsWaiting: [],
  claimsInFlight: [],
  forwards: new Set(),
});

/**
 * Adds the record of work that is about to run.
 *
 * @param state - The state to update.
 * @param workKey - Key of work that has no record here, or is known not to have run.
 * @param requestId - The request that is to run it.
 * @param workState - Claiming or running.
 */
export const addWorkRecord = (
  state: State,
  workKey: string,
  requestId: RequestId,
  workState: WorkState,
): void => {
  const knownNotRun = state.tickets.workRecords.get(workKey)?.state === WORK_STATE.NOT_RUN;
  // Deleted first, so that the map stays in the order in which work was started.
  state.tickets.workRecords.delete(workKey);
  state.tickets.workRecords.set(workKey, {
    workKey,
    requestId,
    state: workState,
    knownNotRun,
    waiting: [],
    expiresAtMs: null,
  });
  state.tickets.workByRequest.set(requestId, workKey);
};

/** Answers one duplicate request with the outcome of the work. */
const answerDuplicate = (
  state: State,
  work: WorkRecord,
  requestId: RequestId,
  effects: Effect[],
): void => {
  if (work.state === WORK_STATE.ANSWER_KEPT) {
    effects.push({ type: "caller/replayKept", requestId, keptAs: work.workKey });
  } else {
    refuse(state, requestId, unknownRefusal(REFUSAL_KIND.ANSWER_NOT_KEPT), effects);
  }
};

/**
 * Answers a duplicate request of ended work, or makes it wait for the outcome of running work.
 *
 * @param state - The state to update.
 * @param workKey - Key of the work.
 * @param requestId - The duplicate request.
 * @param effects - Receives the effects.
 * @returns Whether the request was a duplicate; false if the work is new or known not to have run.
 */
export const attachDuplicate = (
  state: State,
  workKey: string,
  requestId: RequestId,
  effects: Effect[],
): boolean => {
  const work = state.tickets.workRecords.get(workKey);
  if (work === undefined || work.state === WORK_STATE.NOT_RUN) {
    return false;
  }
  if (work.expiresAtMs === null) {
    work.waiting.push(requestId);
    state.tickets.workByRequest.set(requestId, workKey);
  } else {
    answerDuplicate(state, work, requestId, effects);
  }
  return true;
};

/** Records the end of work. Returns the duplicate requests that waited for its outcome. */
const endWork = (state: State, work: WorkRecord, workState: WorkState): readonly RequestId[] => {
  const { waiting } = work;
  work.state = workState;
  work.waiting = [];
  work.expiresAtMs = state.nowMs + TICKETS.WORK_RETENTION_MS;
  state.tickets.workByRequest.delete(work.requestId);
  for (const requestId of waiting) {
    state.tickets.workByRequest.delete(requestId);
  }
  return waiting;
};

/** The work that the request itself runs; null if it runs none or only waits for an outcome. */
const runningWork = (state: State, requestId: RequestId): WorkRecord | null => {
  const workKey = state.tickets.workByRequest.get(requestId);
  const work = workKey === undefined ? undefined : state.tickets.workRecords.get(workKey);
  return work?.requestId === requestId ? work : null;
};

const endRefusedWork = (
  state: State,
  requestId: RequestId,
  refusal: Refusal,
  effects: Effect[],
): void => {
  const work = runningWork(state, requestId);
  if (work === null) {
    return;
  }
  const isNotRun = refusal.outcome === OUTCOME.NOT_RUN;
  for (const waiting of endWork(state, work, isNotRun ? WORK_STATE.NOT_RUN : WORK_STATE.UNKNOWN)) {
    refuse(state, waiting, refusal, effects);
  }
};

/**
 * Ends the work of a request whose answer is complete.
 *
 * @param state - The state to update.
 * @param requestId - The request.
 * @param effects - Receives the answers to duplicate requests.
 */
export const endAnsweredWork = (state: State, requestId: RequestId, effects: Effect[]): void => {
  const work = runningWork(state, requestId);
  if (work === null) {
    return;
  }
  const isKept = work.state !== WORK_STATE.ANSWER_NOT_KEPT;
  const workState = isKept ? WORK_STATE.ANSWER_KEPT : WORK_STATE.ANSWER_NOT_KEPT;
  for (const waiting of endWork(state, work, workState)) {
    answerDuplicate(state, work, waiting, effects);
  }
};

/**
 * Ends the work of a request that was withdrawn before the work started.
 *
 * @param state - The state to update.
 * @param requestId - The request.
 */
export const endWithdrawnWork = (state: State, requestId: RequestId): void => {
  const work = runningWork(state, requestId);
  if (work !== null) {
    endWork(state, work, WORK_STATE.NOT_RUN);
  }
};

/**
 * Ends the work of every request that was refused, or whose answer broke off, in this event.
 *
 * @param state - The state to update.
 * @param effects - The effects decided so far for this event; receives the answers to duplicates.
 */
export const settleRefusedWork = (state: State, effects: Effect[]): void => {
  if (state.tickets.workByRequest.size === 0) {
    return;
  }
  for (const effect of [...effects]) {
    if (effect.type === "caller/refuse") {
      endRefusedWork(state, effect.requestId, effect.refusal, effects);
    } else if (effect.type === "caller/breakOff") {
      endRefusedWork(
        state,
        effect.requestId,
        unknownRefusal(REFUSAL_KIND.ANSWER_NOT_KEPT),
        effects,
      );
    }
  }
};

/**
 * Whether a request must continue although its caller has disconnected. A duplicate request stops
 * waiting for the outcome of its work.
 *
 * @param state - The state to update.
 * @param requestId - The request whose caller has disconnected.
 * @returns True if its work may have started, or if duplicate requests wait for the outcome.
 */
export const continuesWithoutCaller = (state: State, requestId: RequestId): boolean => {
  const { workRecords, workByRequest } = state.tickets;
  const work = workRecords.get(workByRequest.get(requestId) ?? "");
  if (work === undefined) {
    return false;
  }
  if (work.requestId !== requestId) {
    work.waiting = work.waiting.filter((waiting) => waiting !== requestId);
    workByRequest.delete(requestId);
    return true;
  }
  const hasStarted = (state.requests.records.get(requestId)?.attempts ?? 0) > 0;
  return hasStarted || work.waiting.length > 0;
};

/**
 * Discards expired records of ended work, and the oldest ones beyond the maximum number; likewise
 * the records of used tickets that have expired.
 *
 * @param state - The state to update.
 * @param effects - Receives the effects that delete kept answers.
 */
export const evictWorkRecords = (state: State, effects: Effect[]): void => {
  const { workRecords, usedSequences } = state.tickets;
  let excess = workRecords.size - TICKETS.MAX_WORK_RECORDS;
  for (const work of workRecords.values()) {
    const isExpired = work.expiresAtMs !== null && state.nowMs >= work.expiresAtMs;
    if (!isExpired && excess <= 0) {
      break;
    }
    if (work.expiresAtMs === null) {
      continue;
    }
    excess -= 1;
    workRecords.delete(work.workKey);
    if (work.state === WORK_STATE.ANSWER_KEPT) {
      effects.push({ type: "caller/forgetKept", keptAs: work.workKey });
    }
  }
  for (const [sequence, expiresAtMs] of usedSequences) {
    if (state.nowMs <= expiresAtMs) {
      break;
    }
    usedSequences.delete(sequence);
  }
};
