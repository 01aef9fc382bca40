import { LOG_CLASS, type EntryHostId, type RowKey } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { drainAcknowledgements } from "../fleet/acknowledgements.js";
import { hasReturnedGrants } from "../limits/escrowWrites.js";
import { NODE_ROLE } from "../node/constants.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { tableNowMs, viewAgeMs } from "../platform/mirror.js";
import type { TableRow, WriteOutcome } from "../platform/types.js";
import { rowKeyOf, submitWrite } from "../platform/writes.js";
import type { State } from "../state.js";
import { MEMBERSHIP } from "./constants.js";
import type { DrainAcknowledgement, Member, MemberRow, MembershipState } from "./types.js";

export const initialMembership = (): MembershipState => ({
  members: new Map(),
  zonePeers: [],
  nextHeartbeatAtMs: 0,
  heartbeatInFlight: false,
  sessionUntilMs: 0,
  acknowledged: "",
  endedAtMs: null,
  leftWritten: false,
});

const ownKey = (state: State): RowKey => {
  const { availabilityZone, entryHostId } = state.node.identity;
  return rowKeyOf(ROW_PREFIX.MEMBER, availabilityZone, "/", entryHostId);
};

/**
 * @param state - The state to read.
 * @returns Prefix of the heartbeats of this node's zone.
 */
export const zoneMembersPrefix = (state: State): RowKey =>
  rowKeyOf(ROW_PREFIX.MEMBER, state.node.identity.availabilityZone, "/");

const heartbeatRow = (
  state: State,
  left: boolean,
  drained: readonly DrainAcknowledgement[],
): MemberRow => {
  const { entryHostId, availabilityZone, incarnation, callerAddress, peerAddress } =
    state.node.identity;
  return {
    type: "member",
    entryHostId,
    availabilityZone,
    incarnation,
    callerAddress,
    peerAddress,
    revisionInForce: state.revisions.revision,
    left,
    drained,
  };
};

const hasEnded = (state: State): boolean =>
  state.node.leavingSinceMs !== null &&
  state.requests.records.size === 0 &&
  state.requests.attempts.size === 0;

const sendHeartbeat = (
  state: State,
  drained: readonly DrainAcknowledgement[],
  effects: Effect[],
): void => {
  const { membership } = state;
  membership.heartbeatInFlight = true;
  membership.acknowledged = JSON.stringify(drained);
  membership.nextHeartbeatAtMs = state.nowMs + MEMBERSHIP.HEARTBEAT_INTERVAL_MS;
  const put = { key: ownKey(state), body: heartbeatRow(state, hasEnded(state), drained) };
  submitWrite(state, { purpose: "membership", puts: [put], giveUpAtMs: null }, effects);
};

/** A change that others wait for goes out before the next regular heartbeat. */
const hasNews = (state: State, drained: readonly DrainAcknowledgement[]): boolean => {
  const { membership, revisions } = state;
  const written = state.platform.mirror.get(ownKey(state))?.body;
  const revisionInForce = written?.type === "member" ? written.revisionInForce : 0;
  return (
    JSON.stringify(drained) !== membership.acknowledged ||
    revisionInForce !== revisions.revision ||
    hasEnded(state)
  );
};

const heartbeatWhenDue = (state: State, effects: Effect[]): void => {
  const { membership } = state;
  if (membership.heartbeatInFlight || membership.leftWritten) {
    return;
  }
  const drained = drainAcknowledgements(state);
  if (state.nowMs >= membership.nextHeartbeatAtMs || hasNews(state, drained)) {
    sendHeartbeat(state, drained, effects);
  }
};

const isLive = (state: State, member: Member): boolean => {
  if (member.row.left) {
    return false;
  }
  if (state.nowMs - member.heardAtMs < MEMBERSHIP.SESSION_TERM_MS) {
    return true;
  }
  const tableTimeMs = tableNowMs(state);
  if (tableTimeMs === null) {
    return true;
  }
  // Judged as of the newest view: without news from the table nobody is taken for dead.
  const asOfMs = tableTimeMs - viewAgeMs(state, zoneMembersPrefix(state));
  return asOfMs - member.committedAtMs < MEMBERSHIP.SESSION_TERM_MS;
};

const sameOrder = (left: readonly EntryHostId[], right: readonly EntryHostId[]): boolean =>
  left.length === right.length && left.every((id, index) => id === right[index]);

/**
 * Judges anew which entry hosts are live.
 *
 * @param state - The state to change.
 * @returns Whether the live entry hosts of this zone are others than before.
 */
export const refreshMembers = (state: State): boolean => {
  const { membership } = state;
  const { entryHostId, availabilityZone, role } = state.node.identity;
  const peers: EntryHostId[] = role === NODE_ROLE.ENTRY ? [entryHostId] : [];
  for (const member of membership.members.values()) {
    member.live = isLive(state, member);
    const isPeer = member.row.availabilityZone === availabilityZone;
    if (member.live && isPeer && member.row.entryHostId !== entryHostId) {
      peers.push(member.row.entryHostId);
    }
  }
  peers.sort();
  if (sameOrder(peers, membership.zonePeers)) {
    return false;
  }
  membership.zonePeers = peers;
  return true;
};

const takeMemberRow = (state: State, row: TableRow<MemberRow>): void => {
  const known = state.membership.members.get(row.body.entryHostId);
  const sameLife = known?.row.incarnation === row.body.incarnation;
  state.membership.members.set(row.body.entryHostId, {
    row: row.body,
    rowKey: row.key,
    committedAtMs: row.committedAtMs,
    heardAtMs: sameLife ? known.heardAtMs : Number.NEGATIVE_INFINITY,
    live: true,
  });
};

const noticeSuccessor = (state: State, row: TableRow<MemberRow>, effects: Effect[]): void => {
  const { identity } = state.node;
  const isOwnRow = row.key === ownKey(state) && identity.role === NODE_ROLE.ENTRY;
  if (!isOwnRow || row.body.incarnation === identity.incarnation) {
    return;
  }
  if (state.membership.sessionUntilMs === 0 || state.node.supersededBy !== null) {
    return;
  }
  state.node.supersededBy = row.body.incarnation;
  state.node.leavingSinceMs ??= state.nowMs;
  effects.push({
    type: "log/write",
    level: "error",
    event: "node.superseded",
    fields: { by: row.body.incarnation },
    lineClass: LOG_CLASS.KEPT,
  });
};

/**
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 * @param effects - Receives the effects.
 */
export const rowsChangedMembership = (
  state: State,
  rows: readonly TableRow[],
  effects: Effect[],
): void => {
  for (const row of rows) {
    if (row.body.type === "member") {
      const memberRow = row as TableRow<MemberRow>;
      takeMemberRow(state, memberRow);
      noticeSuccessor(state, memberRow, effects);
    }
  }
};

/**
 * @param state - The state to change.
 * @param outcome - How a heartbeat's write ended.
 */
export const writeSettledMembership = (state: State, outcome: WriteOutcome): void => {
  const { membership } = state;
  membership.heartbeatInFlight = false;
  if (outcome.result !== "committed") {
    membership.nextHeartbeatAtMs = state.nowMs;
    return;
  }
  membership.sessionUntilMs = Math.max(
    membership.sessionUntilMs,
    outcome.firstSentAtMs + MEMBERSHIP.SESSION_TERM_MS,
  );
  const written = outcome.write.puts[0]?.body;
  membership.leftWritten = written?.type === "member" && written.left;
};

/** The table is told first, so that others need not wait; without an answer it ends all the same. */
const exitWhenEnded = (state: State, effects: Effect[]): void => {
  const { membership, node } = state;
  if (!hasEnded(state)) {
    return;
  }
  membership.endedAtMs ??= state.nowMs;
  const waitedMs = state.nowMs - membership.endedAtMs;
  const tookLeave = membership.leftWritten && hasReturnedGrants(state);
  const needNotWait = tookLeave || node.supersededBy !== null;
  if (needNotWait || waitedMs >= MEMBERSHIP.FAREWELL_TIMEOUT_MS) {
    effects.push({ type: "node/exit" });
  }
};

/**
 * Keeps this node's heartbeat fresh.
 *
 * @param state - The state to change.
 * @param event - Any event.
 * @param effects - Receives the effects.
 */
export const reduceMembership = (state: State, event: Event, effects: Effect[]): void => {
  const { node } = state;
  if (event.type !== "clock/ticked" || node.identity.role !== NODE_ROLE.ENTRY) {
    return;
  }
  if (node.supersededBy === null) {
    heartbeatWhenDue(state, effects);
  }
  exitWhenEnded(state, effects);
};
