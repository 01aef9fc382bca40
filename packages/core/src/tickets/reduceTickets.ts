import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { refuse } from "../requests/refusals.js";
import type { State } from "../state.js";
import { TICKETS, WORK_STATE } from "./constants.js";
import { sendClaims } from "./claims.js";
import { handleForwardFailure } from "./forwards.js";
import type { TicketsEvent } from "./types.js";
import { endAnsweredWork, evictWorkRecords, settleRefusedWork } from "./workRecords.js";

type Requested = Extract<TicketsEvent, { type: "tickets/requested" }>;

const issueTickets = (state: State, { requestId, count }: Requested, effects: Effect[]): void => {
  const { tickets } = state;
  const isFull = tickets.usedSequences.size >= TICKETS.MAX_USED_TICKETS;
  const issued = isFull || state.node.shutdownStartedAtMs !== null ? 0 : count;
  const firstSequence = tickets.nextTicketSequence;
  tickets.nextTicketSequence += Math.min(issued, TICKETS.MAX_PER_CALL);
  effects.push({
    type: "tickets/issue",
    requestId,
    firstSequence,
    count: tickets.nextTicketSequence - firstSequence,
    expiresAtMs: state.nowMs + TICKETS.TTL_MS,
  });
};

const recordAnswerNotKept = (state: State, keptAs: string): void => {
  const work = state.tickets.workRecords.get(keptAs);
  if (work !== undefined) {
    work.state = WORK_STATE.ANSWER_NOT_KEPT;
  }
};

/**
 * Ensures that at-most-once work does not run twice. Runs after the requests slice, so that it can
 * pass the outcomes decided there to duplicate requests.
 *
 * @param state - The state to update.
 * @param event - Any event.
 * @param effects - The effects decided so far for this event; receives further ones.
 */
export const reduceTickets = (state: State, event: Event, effects: Effect[]): void => {
  switch (event.type) {
    case "tickets/requested":
      issueTickets(state, event, effects);
      break;
    case "answer/notKept":
      recordAnswerNotKept(state, event.keptAs);
      break;
    case "attempt/completed":
      if (!state.requests.records.has(event.requestId)) {
        endAnsweredWork(state, event.requestId, effects);
      }
      break;
    case "forward/answered":
      state.tickets.forwards.delete(event.requestId);
      break;
    case "forward/refused":
      if (state.tickets.forwards.delete(event.requestId)) {
        refuse(state, event.requestId, event.refusal, effects);
      }
      break;
    case "forward/failed":
      handleForwardFailure(state, event.requestId, event.sent, effects);
      break;
    case "clock/ticked":
      evictWorkRecords(state, effects);
      break;
  }
  settleRefusedWork(state, effects);
  sendClaims(state, effects);
};
