import type { PresentedTicket } from "@heatherferry/coordination";
import type { TeamId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import { REFUSAL_KIND, REQUEST_PHASE } from "../requests/constants.js";
import { notRunRefusal, refuse, unknownRefusal } from "../requests/refusals.js";
import type { Refusal, RequestArrived, RequestRecord } from "../requests/types.js";
import type { State } from "../state.js";
import { queueClaim } from "./claims.js";
import { WORK_STATE } from "./constants.js";
import { forwardTo } from "./forwards.js";
import { attachDuplicate, addWorkRecord } from "./workRecords.js";

/**
 * Returns the key that all requests for the same at-most-once work share.
 *
 * @param event - The arrived request.
 * @param team - The team that the request is charged to.
 * @returns The work key; null if the request is idempotent, or if it has neither a ticket nor an
 * idempotency key and therefore only must not be sent to more than one target.
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

const isOwnTicket = (state: State, ticket: PresentedTicket): boolean =>
  ticket.incarnation === state.node.identity.incarnation;

/** Why a ticket issued by this incarnation cannot start work; null if it can. */
const ticketRefusal = (state: State, ticket: PresentedTicket): Refusal | null => {
  const { nextTicketSequence, usedSequences } = state.tickets;
  if (!ticket.genuine || ticket.sequence >= nextTicketSequence) {
    return notRunRefusal(REFUSAL_KIND.TICKET_INVALID, null);
  }
  // An expired ticket may have been used: the record of its use is discarded at expiry.
  if (state.nowMs > ticket.expiresAtMs || usedSequences.has(ticket.sequence)) {
    return unknownRefusal(REFUSAL_KIND.TICKET_INVALID);
  }
  return null;
};

/**
 * Settles a request whose ticket does not allow it to run here: forwards it to the issuer, or
 * refuses it. Returns whether it did so.
 */
const settleTicket = (
  state: State,
  event: RequestArrived,
  ticket: PresentedTicket,
  workKey: string,
  timeoutMs: number,
  effects: Effect[],
): boolean => {
  if (!isOwnTicket(state, ticket)) {
    if (event.forwarded) {
      refuse(state, event.requestId, unknownRefusal(REFUSAL_KIND.ISSUER_GONE), effects);
    } else {
      forwardTo(state, event.requestId, ticket, timeoutMs, effects);
    }
    return true;
  }
  const knownNotRun = state.tickets.workRecords.get(workKey)?.state === WORK_STATE.NOT_RUN;
  const refusal = knownNotRun ? null : ticketRefusal(state, ticket);
  if (refusal !== null) {
    refuse(state, event.requestId, refusal, effects);
  }
  return refusal !== null;
};

/**
 * Settles a request that must not run here: a duplicate, a request whose ticket another entry host
 * issued, or one whose ticket is invalid.
 *
 * @param state - The state to update.
 * @param event - The arrived request.
 * @param workKey - Key of its work.
 * @param timeoutMs - Time left until the answer must begin.
 * @param effects - Receives the effects.
 * @returns Whether the request is settled; if not, it is new work for this entry host.
 */
export const settleWithoutRunning = (
  state: State,
  event: RequestArrived,
  workKey: string,
  timeoutMs: number,
  effects: Effect[],
): boolean => {
  const isForged =
    event.ticket !== null && isOwnTicket(state, event.ticket) && !event.ticket.genuine;
  if (!isForged && attachDuplicate(state, workKey, event.requestId, effects)) {
    return true;
  }
  return (
    event.ticket !== null && settleTicket(state, event, event.ticket, workKey, timeoutMs, effects)
  );
};

/**
 * Records new work. Work with a ticket may start at once; work with an idempotency key starts only
 * when the key has been claimed in the table.
 *
 * @param state - The state to update.
 * @param event - The arrived request.
 * @param record - The request's record, with its work key set.
 * @param workKey - Key of the work.
 * @returns Whether the work may start now, without waiting for a claim.
 */
export const acceptWork = (
  state: State,
  event: RequestArrived,
  record: RequestRecord,
  workKey: string,
): boolean => {
  if (event.ticket !== null) {
    state.tickets.usedSequences.set(event.ticket.sequence, event.ticket.expiresAtMs);
    addWorkRecord(state, workKey, record.requestId, WORK_STATE.RUNNING);
    return true;
  }
  record.phase = REQUEST_PHASE.CLAIMING;
  addWorkRecord(state, workKey, record.requestId, WORK_STATE.CLAIMING);
  queueClaim(state, record, event.idempotencyKey ?? "", event.forwarded);
  return false;
};
