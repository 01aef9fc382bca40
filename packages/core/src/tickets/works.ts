import type { RequestId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { OUTCOME, REFUSAL_KIND } from "../requests/constants.js";
import { refuse, unknown } from "../requests/refusals.js";
import type { Refusal } from "../requests/types.js";
import type { State } from "../state.js";
import { TICKETS, WORK_STATE } from "./constants.js";
import type { TicketsState, WorkRecord, WorkState } from "./types.js";

export const initialTickets = (): TicketsState => ({
  nextTicketSequence: 0,
  usedSequences: new Map(),
  works: new Map(),
  workByRequest: new Map(),
  claimsWaiting: [],
  claimsInFlight: [],
  forwards: new Set(),
});

/**
 * @param state - The state to change.
 * @param workKey - Work that has no outcome yet, or is known not to have run.
 * @param requestId - The request that is to run it.
 * @param workState - Claiming or running.
 */
export const beginWork = (
  state: State,
  workKey: string,
  requestId: RequestId,
  workState: WorkState,
): void => {
  const knownNotRun = state.tickets.works.get(workKey)?.state === WORK_STATE.NOT_RUN;
  // Taken out first, so that the map stays in the order of use.
  state.tickets.works.delete(workKey);
  state.tickets.works.set(workKey, {
    workKey,
    requestId,
    state: workState,
    knownNotRun,
    waiting: [],
    forgetAtMs: null,
  });
  state.tickets.workByRequest.set(requestId, workKey);
};

/** Tells one repeat how the work ended. */
const answerRepeat = (
  state: State,
  work: WorkRecord,
  requestId: RequestId,
  effects: Effect[],
): void => {
  if (work.state === WORK_STATE.ANSWER_KEPT) {
    effects.push({ type: "caller/replayKept", requestId, keptAs: work.workKey });
  } else {
    refuse(state, requestId, unknown(REFUSAL_KIND.ANSWER_NOT_KEPT), effects);
  }
};

/**
 * Has a repeat of known work wait for its outcome, or tells it.
 *
 * @param state - The state to change.
 * @param workKey - The work.
 * @param requestId - The repeat.
 * @param effects - Receives the effects.
 * @returns False when the work is new, or known not to have run.
 */
export const attachRepeat = (
  state: State,
  workKey: string,
  requestId: RequestId,
  effects: Effect[],
): boolean => {
  const work = state.tickets.works.get(workKey);
  if (work === undefined || work.state === WORK_STATE.NOT_RUN) {
    return false;
  }
  if (work.forgetAtMs === null) {
    work.waiting.push(requestId);
    state.tickets.workByRequest.set(requestId, workKey);
  } else {
    answerRepeat(state, work, requestId, effects);
  }
  return true;
};

const endWork = (state: State, work: WorkRecord, workState: WorkState): readonly RequestId[] => {
  const { waiting } = work;
  work.state = workState;
  work.waiting = [];
  work.forgetAtMs = state.nowMs + TICKETS.KEEP_MS;
  state.tickets.workByRequest.delete(work.requestId);
  for (const requestId of waiting) {
    state.tickets.workByRequest.delete(requestId);
  }
  return waiting;
};

const runningWork = (state: State, requestId: RequestId): WorkRecord | null => {
  const workKey = state.tickets.workByRequest.get(requestId);
  const work = workKey === undefined ? undefined : state.tickets.works.get(workKey);
  return work?.requestId === requestId ? work : null;
};

const endRefused = (
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
 * @param state - The state to change.
 * @param requestId - A request whose answer is whole.
 * @param effects - Receives the answers to repeats.
 */
export const endAnswered = (state: State, requestId: RequestId, effects: Effect[]): void => {
  const work = runningWork(state, requestId);
  if (work === null) {
    return;
  }
  const isKept = work.state !== WORK_STATE.ANSWER_NOT_KEPT;
  const workState = isKept ? WORK_STATE.ANSWER_KEPT : WORK_STATE.ANSWER_NOT_KEPT;
  for (const waiting of endWork(state, work, workState)) {
    answerRepeat(state, work, waiting, effects);
  }
};

/**
 * @param state - The state to change.
 * @param requestId - A request that left before its work was started.
 */
export const endWithdrawn = (state: State, requestId: RequestId): void => {
  const work = runningWork(state, requestId);
  if (work !== null) {
    endWork(state, work, WORK_STATE.NOT_RUN);
  }
};

/**
 * Ends the work of every request that was told its outcome in this turn.
 *
 * @param state - The state to change.
 * @param effects - What the turn decided; receives the outcomes of repeats.
 */
export const settleWorks = (state: State, effects: Effect[]): void => {
  if (state.tickets.workByRequest.size === 0) {
    return;
  }
  for (const effect of [...effects]) {
    if (effect.type === "caller/refuse") {
      endRefused(state, effect.requestId, effect.refusal, effects);
    } else if (effect.type === "caller/breakOff") {
      endRefused(state, effect.requestId, unknown(REFUSAL_KIND.ANSWER_NOT_KEPT), effects);
    }
  }
};

/**
 * @param state - The state to change.
 * @param requestId - A request whose caller hung up.
 * @returns Whether it must go on all the same: its work may have started, or repeats wait for it.
 */
export const keepsRunning = (state: State, requestId: RequestId): boolean => {
  const { works, workByRequest } = state.tickets;
  const work = works.get(workByRequest.get(requestId) ?? "");
  if (work === undefined) {
    return false;
  }
  if (work.requestId !== requestId) {
    work.waiting = work.waiting.filter((waiting) => waiting !== requestId);
    workByRequest.delete(requestId);
    return true;
  }
  const started = (state.requests.records.get(requestId)?.attempts ?? 0) > 0;
  return started || work.waiting.length > 0;
};

/**
 * Forgets ended work that is old, or too much.
 *
 * @param state - The state to change.
 * @param effects - Receives the orders to drop kept answers.
 */
export const forgetWorks = (state: State, effects: Effect[]): void => {
  const { works, usedSequences } = state.tickets;
  let excess = works.size - TICKETS.MAX_KEPT_WORKS;
  for (const work of works.values()) {
    const isOld = work.forgetAtMs !== null && state.nowMs >= work.forgetAtMs;
    if (!isOld && excess <= 0) {
      break;
    }
    if (work.forgetAtMs === null) {
      continue;
    }
    excess -= 1;
    works.delete(work.workKey);
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
