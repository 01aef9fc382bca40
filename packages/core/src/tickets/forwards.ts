import type { Address, EntryHostId, Incarnation, RequestId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { REFUSAL_KIND, REQUEST } from "../requests/constants.js";
import { notRun, refuse, unknown } from "../requests/refusals.js";
import type { State } from "../state.js";

/** Where one life of an entry host takes calls; null when that life is not known to go on. */
const addressOfLife = (state: State, id: EntryHostId, life: Incarnation): Address | null => {
  const peer = state.peers.peers.get(id);
  if (peer?.incarnation === life) {
    return peer.peerAddress;
  }
  const member = state.membership.members.get(id);
  const lives = member?.live === true && !member.row.left && member.row.incarnation === life;
  return lives ? member.row.peerAddress : null;
};

/**
 * Passes a request to the life that alone may run its work, or says that it is gone.
 *
 * @param state - The state to change.
 * @param requestId - The request.
 * @param owner - The entry host and the life of it that may run the work.
 * @param timeoutMs - Time that is left.
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
  const address = addressOfLife(state, entryHostId, incarnation);
  if (address === null) {
    refuse(state, requestId, unknown(REFUSAL_KIND.ISSUER_GONE), effects);
    return;
  }
  state.tickets.forwards.add(requestId);
  const call = { requestId, entryHostId, incarnation, address, timeoutMs };
  effects.push({ type: "peer/forwardRequest", ...call });
};

/**
 * @param state - The state to change.
 * @param requestId - A request that was passed on and got no answer.
 * @param sent - At least one byte may have left.
 * @param effects - Receives the refusal.
 */
export const forwardFailed = (
  state: State,
  requestId: RequestId,
  sent: boolean,
  effects: Effect[],
): void => {
  if (state.tickets.forwards.delete(requestId)) {
    const refusal = sent
      ? unknown(REFUSAL_KIND.ISSUER_GONE)
      : notRun(REFUSAL_KIND.ISSUER_GONE, REQUEST.MIN_RETRY_AFTER_MS);
    refuse(state, requestId, refusal, effects);
  }
};
