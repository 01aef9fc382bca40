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
  heardAtMs: Number.NEGATIVE_INFINITY,
  avoidUntilMs: 0,
});

export const initialPeers = (): PeersState => ({
  seeds: [],
  peers: new Map(),
  nextDigestAtMs: 0,
  lastDigestIdle: false,
  viewReadFrom: null,
  nextViewReadAtMs: 0,
  nextViewTurn: 0,
  viewsTaken: 0,
  viewsFailed: 0,
});

const notePeer = (state: State, seed: PeerSeed, addressIsNews: boolean): Peer | null => {
  if (seed.entryHostId === state.node.identity.entryHostId) {
    return null;
  }
  const known = state.peers.peers.get(seed.entryHostId);
  if (known === undefined) {
    const made = newPeer(seed);
    state.peers.peers.set(seed.entryHostId, made);
    return made;
  }
  if (addressIsNews) {
    known.peerAddress = seed.peerAddress;
  }
  return known;
};

const noteTableMembers = (state: State, named: Set<EntryHostId>): void => {
  for (const entryHostId of state.membership.zonePeers) {
    const member = state.membership.members.get(entryHostId);
    if (member !== undefined) {
      named.add(entryHostId);
      const heard = state.peers.peers.get(entryHostId)?.incarnation;
      const addressIsNews = heard === null || heard === member.row.incarnation;
      notePeer(state, { entryHostId, peerAddress: member.row.peerAddress }, addressIsNews);
    }
  }
};

/**
 * Brings the known peers in line with the table, the settings and what was heard.
 *
 * @param state - The state to change.
 */
export const refreshPeers = (state: State): void => {
  const named = new Set<EntryHostId>();
  noteTableMembers(state, named);
  for (const seed of state.peers.seeds) {
    named.add(seed.entryHostId);
    notePeer(state, seed, false);
  }
  for (const peer of state.peers.peers.values()) {
    const forgotten = state.nowMs - peer.heardAtMs > PEERS.FORGET_MS;
    if (forgotten && !named.has(peer.entryHostId)) {
      state.peers.peers.delete(peer.entryHostId);
    }
  }
};

const noteMemberHeard = (state: State, event: Received): void => {
  const member = state.membership.members.get(event.from);
  if (member?.row.incarnation === event.incarnation) {
    member.heardAtMs = state.nowMs;
  }
};

/**
 * Notes that a peer lives.
 *
 * @param state - The state to change.
 * @param event - A message from it.
 */
export const notePeerHeard = (state: State, event: Received): void => {
  noteMemberHeard(state, event);
  const { from, incarnation, message } = event;
  if (message.type !== "digest") {
    return;
  }
  const peer = notePeer(state, { entryHostId: from, peerAddress: message.peerAddress }, true);
  if (peer !== null) {
    // To be heard is not to be reached: only a new life clears what the old one was avoided for.
    peer.avoidUntilMs = peer.incarnation === incarnation ? peer.avoidUntilMs : 0;
    peer.incarnation = incarnation;
    peer.digest = message;
    peer.heardAtMs = state.nowMs;
  }
};

/**
 * @param state - The state to change.
 * @param to - A peer that could not be reached.
 */
export const notePeerUnreachable = (state: State, to: EntryHostId): void => {
  const peer = state.peers.peers.get(to);
  if (peer !== undefined) {
    peer.avoidUntilMs = state.nowMs + PEERS.AVOID_MS;
  }
};
