import type { EntryHostId } from "@heatherferry/common";
import type { State } from "../state.js";
import { PEERS } from "./constants.js";
import type { Peer, PeerSeed, PeersEvent, PeersState } from "./types.js";

type Received = Extract<PeersEvent, { type: "peer/received" }>;

const newPeer = ({ entryHostId, peerAddress }: PeerSeed): Peer => ({
  entryHostId,
  incarnation: null,
  peerAddress,
  digest: null,
  digestReceivedAtMs: Number.NEGATIVE_INFINITY,
  backoffUntilMs: 0,
});

export const initialPeers = (): PeersState => ({
  seeds: [],
  peers: new Map(),
  nextDigestAtMs: 0,
  lastDigestIdle: false,
  viewReadFrom: null,
  nextViewReadAtMs: 0,
  nextViewPeerIndex: 0,
  viewsReceived: 0,
  viewsFailed: 0,
});

/** Adds a peer, or updates the address of a known one. Returns null for the node itself. */
const upsertPeer = (state: State, seed: PeerSeed, updateAddress: boolean): Peer | null => {
  if (seed.entryHostId === state.node.identity.entryHostId) {
    return null;
  }
  const known = state.peers.peers.get(seed.entryHostId);
  if (known === undefined) {
    const added = newPeer(seed);
    state.peers.peers.set(seed.entryHostId, added);
    return added;
  }
  if (updateAddress) {
    known.peerAddress = seed.peerAddress;
  }
  return known;
};

/**
 * Adds the entry hosts that the table lists. The address of a known peer is not updated if its
 * last digest came from another incarnation.
 */
const addTableMembers = (state: State, listed: Set<EntryHostId>): void => {
  for (const entryHostId of state.membership.zonePeers) {
    const member = state.membership.members.get(entryHostId);
    if (member !== undefined) {
      listed.add(entryHostId);
      const known = state.peers.peers.get(entryHostId)?.incarnation;
      const updateAddress = known === null || known === member.row.incarnation;
      upsertPeer(state, { entryHostId, peerAddress: member.row.peerAddress }, updateAddress);
    }
  }
};

/**
 * Adds the peers that the table and the settings list, and removes silent ones that neither lists.
 *
 * @param state - The state to update.
 */
export const refreshPeers = (state: State): void => {
  const listed = new Set<EntryHostId>();
  addTableMembers(state, listed);
  for (const seed of state.peers.seeds) {
    listed.add(seed.entryHostId);
    upsertPeer(state, seed, false);
  }
  for (const peer of state.peers.peers.values()) {
    const isSilent = state.nowMs - peer.digestReceivedAtMs > PEERS.SILENT_PEER_TTL_MS;
    if (isSilent && !listed.has(peer.entryHostId)) {
      state.peers.peers.delete(peer.entryHostId);
    }
  }
};

const recordMemberMessage = (state: State, event: Received): void => {
  const member = state.membership.members.get(event.from);
  if (member?.row.incarnation === event.incarnation) {
    member.lastMessageAtMs = state.nowMs;
  }
};

/**
 * Records that a peer is alive, and its status if the message is a digest.
 *
 * @param state - The state to update.
 * @param event - The message received from the peer.
 */
export const recordPeerMessage = (state: State, event: Received): void => {
  recordMemberMessage(state, event);
  const { from, incarnation, message } = event;
  if (message.type !== "digest") {
    return;
  }
  const peer = upsertPeer(state, { entryHostId: from, peerAddress: message.peerAddress }, true);
  if (peer !== null) {
    // A peer that can send may still be unreachable: only a new incarnation ends the backoff.
    peer.backoffUntilMs = peer.incarnation === incarnation ? peer.backoffUntilMs : 0;
    peer.incarnation = incarnation;
    peer.digest = message;
    peer.digestReceivedAtMs = state.nowMs;
  }
};

/**
 * Starts the backoff of a peer that could not be reached.
 *
 * @param state - The state to update.
 * @param to - The peer.
 */
export const recordPeerUnreachable = (state: State, to: EntryHostId): void => {
  const peer = state.peers.peers.get(to);
  if (peer !== undefined) {
    peer.backoffUntilMs = state.nowMs + PEERS.UNREACHABLE_BACKOFF_MS;
  }
};
