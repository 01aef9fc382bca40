import type { Address, EntryHostId, Incarnation, RequestId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { REFUSAL_KIND, REQUEST } from "../requests/constants.js";
import { notRunRefusal, refuse, unknownRefusal } from "../requests/refusals.js";
import type { State } from "../state.js";

/** Peer address of an incarnation of an entry host; null if it is not known to be running. */
const addressOfIncarnation = (
  state: State,
  id: EntryHostId,
  incarnation: Incarnation,
): Address | null => {
  const peer = state.peers.peers.get(id);
  if (peer?.incarnation === incarnation) {
    return peer.peerAddress;
  }
  const member = state.membership.members.get(id);
  const isAlive =
    member?.live === true && !member.row.left && member.row.incarnation === incarnation;
  return isAlive ? member.row.peerAddress : null;
};

/**
 * Forwards a request to the only incarnation that may run its work, or refuses the request if that
 * incarnation is no longer known to be running.
 *
 * @param state - The state to update.
 * @param requestId - The request.
 * @param owner - The entry host and its incarnation that may run the work.
 * @param timeoutMs - Time left until the answer must begin.
 * @param effects - Receives the effect.
 */
export const forwardTo = (
  state: State,
  requestId: RequestId,
  owner: { readonly entryHostId: EntryHostId; readonly incarnation: Incarnation },
  timeoutMs: number,
  effects: Effect[],
): void => {
  const { entryHostId, incarnation } = owner;
  const address = addressOfIncarnation(state, entryHostId, incarnation);
  if (address === null) {
    refuse(state, requestId, unknownRefusal(REFUSAL_KIND.ISSUER_GONE), effects);
    return;
  }
  state.tickets.forwards.add(requestId);
  const call = { requestId, entryHostId, incarnation, address, timeoutMs };
  effects.push({ type: "peer/forwardRequest", ...call });
};

/**
 * Refuses a forwarded request that got no answer.
 *
 * @param state - The state to update.
 * @param requestId - The request.
 * @param sent - Whether at least one byte may have been sent.
 * @param effects - Receives the refusal.
 */
export const handleForwardFailure = (
  state: State,
  requestId: RequestId,
  sent: boolean,
  effects: Effect[],
): void => {
  if (state.tickets.forwards.delete(requestId)) {
    const refusal = sent
      ? unknownRefusal(REFUSAL_KIND.ISSUER_GONE)
      : notRunRefusal(REFUSAL_KIND.ISSUER_GONE, REQUEST.MIN_RETRY_AFTER_MS);
    refuse(state, requestId, refusal, effects);
  }
};
