import { rowKey, tableVersion, type EntryHostId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { rangesToRead, viewAgeMs } from "../platform/mirror.js";
import type { TableRange, TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { PEERS } from "./constants.js";
import type { Peer, PeerCallId, PeerView } from "./types.js";

/** The range whose age stands for the whole view. */
const RULES_HEAD = rowKey(ROW_PREFIX.RULES_HEAD);

/**
 * @param state - The state to read.
 * @returns Age of this node's view of the rules in ms; infinite when there is none.
 */
export const ownViewAgeMs = (state: State): number => viewAgeMs(state, RULES_HEAD);

/** Age that a peer's view has by now; infinite when it told none. */
const peerViewAgeMs = (state: State, peer: Peer): number => {
  const toldAgeMs = peer.digest?.viewAgeMs ?? null;
  return toldAgeMs === null ? Number.POSITIVE_INFINITY : toldAgeMs + (state.nowMs - peer.heardAtMs);
};

const freshestOf = (state: State, candidates: readonly Peer[]): readonly Peer[] => {
  const aged = candidates.map((peer) => ({ peer, ageMs: peerViewAgeMs(state, peer) }));
  const minAgeMs = Math.min(...aged.map(({ ageMs }) => ageMs));
  if (minAgeMs > ownViewAgeMs(state) - PEERS.MIN_VIEW_GAIN_MS) {
    return [];
  }
  return aged.filter(({ ageMs }) => ageMs <= minAgeMs + PEERS.VIEW_TIE_MS).map(({ peer }) => peer);
};

/** Peers worth asking: the freshest; without any view of its own, a node asks silent ones too. */
const peersToAsk = (state: State): readonly Peer[] => {
  const reachable = [...state.peers.peers.values()].filter(
    (peer) => state.nowMs >= peer.avoidUntilMs,
  );
  const freshest = freshestOf(state, reachable);
  if (freshest.length > 0 || Number.isFinite(ownViewAgeMs(state))) {
    return freshest;
  }
  return reachable.filter((peer) => peer.digest === null);
};

/**
 * Reads from a peer once the own view grows old.
 *
 * @param state - The state to change.
 * @param effects - Receives the read.
 */
export const readViewWhenDue = (state: State, effects: Effect[]): void => {
  const { peers } = state;
  const due = peers.viewReadFrom === null && state.nowMs >= peers.nextViewReadAtMs;
  if (!due || ownViewAgeMs(state) < PEERS.ASK_VIEW_AGE_MS) {
    return;
  }
  const candidates = peersToAsk(state);
  const peer = candidates[peers.nextViewTurn % Math.max(1, candidates.length)];
  if (peer === undefined) {
    return;
  }
  peers.nextViewTurn += 1;
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
 * @param state - The state to change.
 * @param to - The peer that could not be reached.
 */
export const viewReadFailed = (state: State, to: EntryHostId): void => {
  if (state.peers.viewReadFrom === to) {
    state.peers.viewReadFrom = null;
    state.peers.viewsFailed += 1;
  }
};

/**
 * @param state - The state to change.
 */
export const viewReadCompleted = (state: State): void => {
  if (state.peers.viewReadFrom !== null) {
    state.peers.viewReadFrom = null;
    state.peers.viewsTaken += 1;
  }
};

const rowsOf = (state: State, ranges: readonly TableRange[]): readonly TableRow[] => {
  const rows: TableRow[] = [];
  for (const row of state.platform.mirror.values()) {
    const wanted = ranges.some(
      ({ prefix, afterVersion }) => row.key.startsWith(prefix) && row.version > afterVersion,
    );
    if (wanted) {
      rows.push(row);
    }
  }
  return rows;
};

/**
 * What this node's mirror holds of some ranges. Rows that this node wrote itself may be newer
 * than the version stated: leaving them out would hide their earlier versions, which it no
 * longer has.
 *
 * @param state - The state to read.
 * @param asked - The ranges wanted.
 * @returns The view, as old as the oldest of the ranges; null when none of them is mirrored.
 */
export const viewOf = (state: State, asked: readonly TableRange[]): PeerView | null => {
  const ranges: TableRange[] = [];
  let upToVersion = Number.POSITIVE_INFINITY;
  let ageMs = 0;
  for (const range of asked) {
    const held = state.platform.ranges.get(range.prefix);
    if (held === undefined || held.confirmedAtMs === null) {
      continue;
    }
    ranges.push(range);
    upToVersion = Math.min(upToVersion, held.upToVersion);
    ageMs = Math.max(ageMs, state.nowMs - held.confirmedAtMs);
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
 * @param state - The state to read.
 * @param callId - The peer's call.
 * @param ranges - The ranges wanted.
 * @param effects - Receives the answer.
 */
export const answerView = (
  state: State,
  callId: PeerCallId,
  ranges: readonly TableRange[],
  effects: Effect[],
): void => {
  effects.push({ type: "peer/answerView", callId, view: viewOf(state, ranges) });
};
