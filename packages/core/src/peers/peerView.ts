import { rowKey, tableVersion, type EntryHostId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { rangesToRead, viewAgeMs } from "../platform/mirror.js";
import type { TableRange, TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { PEERS } from "./constants.js";
import type { Peer, PeerCallId, PeerView } from "./types.js";

/** The range of the mirror whose age counts as the age of the whole view. */
const RULES_HEAD = rowKey(ROW_PREFIX.RULES_HEAD);

/**
 * Returns the age of this node's view of the rules.
 *
 * @param state - The state to read.
 * @returns Age in ms; infinite if the node has no view.
 */
export const ownViewAgeMs = (state: State): number => viewAgeMs(state, RULES_HEAD);

/** Current age of a peer's view in ms; infinite if the peer has reported none. */
const peerViewAgeMs = (state: State, peer: Peer): number => {
  const reportedAgeMs = peer.digest?.viewAgeMs ?? null;
  return reportedAgeMs === null
    ? Number.POSITIVE_INFINITY
    : reportedAgeMs + (state.nowMs - peer.digestReceivedAtMs);
};

/** Peers with the freshest view, within the tolerance; none if no view is fresh enough to read. */
const freshestOf = (state: State, candidates: readonly Peer[]): readonly Peer[] => {
  const aged = candidates.map((peer) => ({ peer, ageMs: peerViewAgeMs(state, peer) }));
  const minAgeMs = Math.min(...aged.map(({ ageMs }) => ageMs));
  if (minAgeMs > ownViewAgeMs(state) - PEERS.MIN_VIEW_GAIN_MS) {
    return [];
  }
  return aged
    .filter(({ ageMs }) => ageMs <= minAgeMs + PEERS.VIEW_AGE_TOLERANCE_MS)
    .map(({ peer }) => peer);
};

/**
 * The reachable peers with the freshest views. A node that has no view of its own falls back to
 * peers that have sent no digest yet.
 */
const peersToAsk = (state: State): readonly Peer[] => {
  const reachable = [...state.peers.peers.values()].filter(
    (peer) => state.nowMs >= peer.backoffUntilMs,
  );
  const freshest = freshestOf(state, reachable);
  if (freshest.length > 0 || Number.isFinite(ownViewAgeMs(state))) {
    return freshest;
  }
  return reachable.filter((peer) => peer.digest === null);
};

/**
 * Requests the view of a peer when this node's own view has become stale.
 *
 * @param state - The state to update.
 * @param effects - Receives the read request.
 */
export const readViewWhenDue = (state: State, effects: Effect[]): void => {
  const { peers } = state;
  const isDue = peers.viewReadFrom === null && state.nowMs >= peers.nextViewReadAtMs;
  if (!isDue || ownViewAgeMs(state) < PEERS.STALE_VIEW_AGE_MS) {
    return;
  }
  const candidates = peersToAsk(state);
  const peer = candidates[peers.nextViewPeerIndex % Math.max(1, candidates.length)];
  if (peer === undefined) {
    return;
  }
  peers.nextViewPeerIndex += 1;
  peers.viewReadFrom = peer.entryHostId;
  peers.nextViewReadAtMs = state.nowMs + PEERS.VIEW_READ_INTERVAL_MS;
  effects.push({
    type: "peer/readView",
    to: peer.entryHostId,
    address: peer.peerAddress,
    ranges: rangesToRead(state),
  });
};

/**
 * Ends the view read in progress if it was addressed to an unreachable peer.
 *
 * @param state - The state to update.
 * @param to - The peer that could not be reached.
 */
export const recordViewReadFailure = (state: State, to: EntryHostId): void => {
  if (state.peers.viewReadFrom === to) {
    state.peers.viewReadFrom = null;
    state.peers.viewsFailed += 1;
  }
};

/**
 * Ends the view read in progress after a peer has answered it.
 *
 * @param state - The state to update.
 */
export const recordViewReadSuccess = (state: State): void => {
  if (state.peers.viewReadFrom !== null) {
    state.peers.viewReadFrom = null;
    state.peers.viewsReceived += 1;
  }
};

/** Mirrored rows in the ranges that changed after the version of their range. */
const rowsOf = (state: State, ranges: readonly TableRange[]): readonly TableRow[] => {
  const rows: TableRow[] = [];
  for (const row of state.platform.mirror.values()) {
    const isRequested = ranges.some(
      ({ prefix, afterVersion }) => row.key.startsWith(prefix) && row.version > afterVersion,
    );
    if (isRequested) {
      rows.push(row);
    }
  }
  return rows;
};

/**
 * Returns what this node's mirror holds of some ranges. Rows that this node wrote itself may be
 * newer than the stated version. They are included, because the mirror no longer has their earlier
 * versions and the rows would otherwise be missing from the view.
 *
 * @param state - The state to read.
 * @param requested - The requested ranges.
 * @returns The view, as old as the oldest of the ranges; null if none of them is mirrored.
 */
export const buildPeerView = (state: State, requested: readonly TableRange[]): PeerView | null => {
  const ranges: TableRange[] = [];
  let upToVersion = Number.POSITIVE_INFINITY;
  let ageMs = 0;
  for (const range of requested) {
    const mirrored = state.platform.ranges.get(range.prefix);
    if (mirrored === undefined || mirrored.confirmedAtMs === null) {
      continue;
    }
    ranges.push(range);
    upToVersion = Math.min(upToVersion, mirrored.upToVersion);
    ageMs = Math.max(ageMs, state.nowMs - mirrored.confirmedAtMs);
  }
  if (ranges.length === 0) {
    return null;
  }
  return {
    ranges,
    rows: rowsOf(state, ranges),
    upToVersion: tableVersion(upToVersion),
    viewAgeMs: ageMs,
  };
};

/**
 * Answers a peer that has asked for this node's view.
 *
 * @param state - The state to read.
 * @param callId - The peer's call.
 * @param ranges - The requested ranges.
 * @param effects - Receives the answer.
 */
export const answerView = (
  state: State,
  callId: PeerCallId,
  ranges: readonly TableRange[],
  effects: Effect[],
): void => {
  effects.push({ type: "peer/answerView", callId, view: buildPeerView(state, ranges) });
};
