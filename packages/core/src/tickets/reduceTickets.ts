import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { refuse } from "../requests/refusals.js";
import type { State } from "../state.js";
import { TICKETS, WORK_STATE } from "./constants.js";
import { sendClaims } from "./claims.js";
import { forwardFailed } from "./forwards.js";
import type { TicketsEvent } from "./types.js";
import { endAnswered, forgetWorks, settleWorks } from "./works.js";

type Requested = Extract<TicketsEvent, { type: "tickets/requested" }>;

const issue = (state: State, { requestId, count }: Requested, effects: Effect[]): void => {
  const { tickets } = state;
  const isFull = tickets.usedSequences.size >= TICKETS.MAX_USED;
  const issued = isFull || state.node.leavingSinceMs !== null ? 0 : count;
  const firstSequence = tickets.nextTicketSequence;
  tickets.nextTicketSequence += Math.min(issued, TICKETS.MAX_PER_CALL);
  effects.push({
    type: "tickets/issue",
    requestId,
    firstSequence,
    count: tickets.nextTicketSequence - firstSequence,
    expiresAtMs: state.nowMs + TICKETS.VALID_MS,
  });
};

const noteNotKept = (state: State, keptAs: string): void => {
  const work = state.tickets.works.get(keptAs);
  if (work !== undefined) {
    work.state = WORK_STATE.ANSWER_NOT_KEPT;
  }
};

/**
 * Keeps work that must run at most once from running twice. Comes after the requests' own
 * decisions, and hands their outcomes to repeats.
 *
 * @param state - The state to change.
 * @param event - Any event.
 * @param effects - What the turn decided; receives the effects.
 */
export const reduceTickets = (state: State, event: Event, effects: Effect[]): void => {
  switch (event.type) {
    case "tickets/requested":
      issue(state, event, effects);
      break;
    case "answer/notKept":
      noteNotKept(state, event.keptAs);
      break;
    case "attempt/completed":
      if (!state.requests.records.has(event.requestId)) {
        endAnswered(state, event.requestId, effects);
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
      forwardFailed(state, event.requestId, event.sent, effects);
      break;
    case "clock/ticked":
      forgetWorks(state, effects);
      break;
  }
  settleWorks(state, effects);
  sendClaims(state, effects);
};
