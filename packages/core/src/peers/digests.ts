import type { Effect } from "../effect.js";
import type { State } from "../state.js";
import { PEERS } from "./constants.js";
import { ownViewAgeMs } from "./peerView.js";
import type { PeerDigest, QueuedCount } from "./types.js";

const queuedCounts = (state: State): readonly QueuedCount[] =>
  [...state.queues.pools]
    .filter(([, queue]) => queue.length > 0)
    .map(([pool, queue]) => ({ pool, count: queue.length }));

const digestOf = (state: State): PeerDigest => {
  const ageMs = ownViewAgeMs(state);
  return {
    type: "digest",
    peerAddress: state.node.identity.peerAddress,
    revision: state.revisions.revision,
    viewAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    usage: [],
    queued: queuedCounts(state),
    dividedAmong: [],
  };
};

const isIdle = (digest: PeerDigest): boolean =>
  digest.usage.length === 0 && digest.queued.length === 0;

/**
 * Sends the status digest of this node to every known peer of the zone when it is due.
 *
 * @param state - The state to update.
 * @param effects - Receives the messages.
 */
export const sendDigestsWhenDue = (state: State, effects: Effect[]): void => {
  const { peers } = state;
  if (state.nowMs < peers.nextDigestAtMs) {
    return;
  }
  const digest = digestOf(state);
  // The first idle digest still goes out promptly: a peer may be waiting to learn that work ended.
  const isSlow = isIdle(digest) && peers.lastDigestIdle;
  peers.lastDigestIdle = isIdle(digest);
  peers.nextDigestAtMs =
    state.nowMs + (isSlow ? PEERS.IDLE_DIGEST_INTERVAL_MS : PEERS.BUSY_DIGEST_INTERVAL_MS);
  for (const { entryHostId, peerAddress } of peers.peers.values()) {
    effects.push({ type: "peer/send", to: entryHostId, address: peerAddress, message: digest });
  }
};
