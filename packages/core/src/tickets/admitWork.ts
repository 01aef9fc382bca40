import type { PresentedTicket } from "@heatherferry/coordination";
import type { TeamId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import { REFUSAL_KIND, REQUEST_PHASE } from "../requests/constants.js";
import { notRun, refuse, unknown } from "../requests/refusals.js";
import type { Refusal, RequestArrived, RequestRecord } from "../requests/types.js";
import type { State } from "../state.js";
import { askClaim } from "./claims.js";
import { WORK_STATE } from "./constants.js";
import { forwardTo } from "./forwards.js";
import { attachRepeat, beginWork } from "./works.js";

/**
 * @param event - An arrival.
 * @param team - The team that it is charged to.
 * @returns The identity that repeats of the work share; null where at most one send is all that
 * is asked for.
 */
export const workKeyOf = (event: RequestArrived, team: TeamId): string | null => {
  if (event.idempotent) {
    return null;
  }
  if (event.ticket !== null) {
    const { incarnation, sequence } = event.ticket;
    return `ticket/${incarnation}/${sequence}`;
  }
  return event.idempotencyKey === null
    ? null
    : rowKeyOf(ROW_PREFIX.CLAIM, team, "/", event.idempotencyKey);
};

const isOwn = (state: State, ticket: PresentedTicket): boolean =>
  ticket.incarnation === state.node.identity.incarnation;

/** Why a ticket of this life cannot start work; null when it can. */
const ticketRefusal = (state: State, ticket: PresentedTicket): Refusal | null => {
  const { nextTicketSequence, usedSequences } = state.tickets;
  if (!ticket.genuine || ticket.sequence >= nextTicketSequence) {
    return notRun(REFUSAL_KIND.TICKET_INVALID, null);
  }
  // An expired ticket may have been used, and that forgotten.
  if (state.nowMs > ticket.expiresAtMs || usedSequences.has(ticket.sequence)) {
    return unknown(REFUSAL_KIND.TICKET_INVALID);
  }
  return null;
};

const settleTicket = (
  state: State,
  event: RequestArrived,
  ticket: PresentedTicket,
  workKey: string,
  timeoutMs: number,
  effects: Effect[],
): boolean => {
  if (!isOwn(state, ticket)) {
    if (event.forwarded) {
      refuse(state, event.requestId, unknown(REFUSAL_KIND.ISSUER_GONE), effects);
    } else {
      forwardTo(state, event.requestId, ticket, timeoutMs, effects);
    }
    return true;
  }
  const knownNotRun = state.tickets.works.get(workKey)?.state === WORK_STATE.NOT_RUN;
  const refusal = knownNotRun ? null : ticketRefusal(state, ticket);
  if (refusal !== null) {
    refuse(state, event.requestId, refusal, effects);
  }
  return refusal !== null;
};

/**
 * Settles an arrival that is a repeat, or that another entry host alone may run.
 *
 * @param state - The state to change.
 * @param event - The arrival.
 * @param workKey - Identity of its work.
 * @param timeoutMs - Time that it has.
 * @param effects - Receives the effects.
 * @returns Whether it is settled; else it is new work for this entry host.
 */
export const settleElsewhere = (
  state: State,
  event: RequestArrived,
  workKey: string,
  timeoutMs: number,
  effects: Effect[],
): boolean => {
  const forged = event.ticket !== null && isOwn(state, event.ticket) && !event.ticket.genuine;
  if (!forged && attachRepeat(state, workKey, event.requestId, effects)) {
    return true;
  }
  return (
    event.ticket !== null && settleTicket(state, event, event.ticket, workKey, timeoutMs, effects)
  );
};

/**
 * Takes new work on.
 *
 * @param state - The state to change.
 * @param event - The arrival.
 * @param record - The request; its work key is set.
 * @param workKey - Identity of its work.
 * @returns Whether it may start; else its claim is awaited.
 */
export const takeOnWork = (
  state: State,
  event: RequestArrived,
  record: RequestRecord,
  workKey: string,
): boolean => {
  if (event.ticket !== null) {
    state.tickets.usedSequences.set(event.ticket.sequence, event.ticket.expiresAtMs);
    beginWork(state, workKey, record.requestId, WORK_STATE.RUNNING);
    return true;
  }
  record.phase = REQUEST_PHASE.CLAIMING;
  beginWork(state, workKey, record.requestId, WORK_STATE.CLAIMING);
  askClaim(state, record, event.idempotencyKey ?? "", event.forwarded);
  return false;
};
