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
  acknowledgedDrainsJson: "",
  workEndedAtMs: null,
  leftCommitted: false,
});

const ownKey = (state: State): RowKey => {
  const { availabilityZone, entryHostId } = state.node.identity;
  return rowKeyOf(ROW_PREFIX.MEMBER, availabilityZone, "/", entryHostId);
};

/**
 * @param state - The state to read.
 * @returns Key prefix of the heartbeat rows of this node's zone.
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

const isShutDown = (state: State): boolean =>
  state.node.shutdownStartedAtMs !== null &&
  state.requests.records.size === 0 &&
  state.requests.attempts.size === 0;

const sendHeartbeat = (
  state: State,
  drained: readonly DrainAcknowledgement[],
  effects: Effect[],
): void => {
  const { membership } = state;
  membership.heartbeatInFlight = true;
  membership.acknowledgedDrainsJson = JSON.stringify(drained);
  membership.nextHeartbeatAtMs = state.nowMs + MEMBERSHIP.HEARTBEAT_INTERVAL_MS;
  const put = { key: ownKey(state), body: heartbeatRow(state, isShutDown(state), drained) };
  submitWrite(state, { purpose: "membership", puts: [put], giveUpAtMs: null }, effects);
};

/** Whether a change that other nodes wait for must be sent before the next regular heartbeat. */
const hasUrgentChange = (state: State, drained: readonly DrainAcknowledgement[]): boolean => {
  const { membership, revisions } = state;
  const written = state.platform.mirror.get(ownKey(state))?.body;
  const revisionInForce = written?.type === "member" ? written.revisionInForce : 0;
  return (
    JSON.stringify(drained) !== membership.acknowledgedDrainsJson ||
    revisionInForce !== revisions.revision ||
    isShutDown(state)
  );
};

const heartbeatWhenDue = (state: State, effects: Effect[]): void => {
  const { membership } = state;
  if (membership.heartbeatInFlight || membership.leftCommitted) {
    return;
  }
  const drained = drainAcknowledgements(state);
  if (state.nowMs >= membership.nextHeartbeatAtMs || hasUrgentChange(state, drained)) {
    sendHeartbeat(state, drained, effects);
  }
};

const isLive = (state: State, member: Member): boolean => {
  if (member.row.left) {
    return false;
  }
  if (state.nowMs - member.lastMessageAtMs < MEMBERSHIP.SESSION_TERM_MS) {
    return true;
  }
  const tableTimeMs = tableNowMs(state);
  if (tableTimeMs === null) {
    return true;
  }
  // As of the newest view, so that no member expires merely because this node can't read the table.
  const asOfMs = tableTimeMs - viewAgeMs(state, zoneMembersPrefix(state));
  return asOfMs - member.committedAtMs < MEMBERSHIP.SESSION_TERM_MS;
};

const areEqual = (left: readonly EntryHostId[], right: readonly EntryHostId[]): boolean =>
  left.length === right.length && left.every((id, index) => id === right[index]);

/**
 * Recomputes which entry hosts are live.
 *
 * @param state - The state to change.
 * @returns Whether the set of live entry hosts of this zone has changed.
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
  if (areEqual(peers, membership.zonePeers)) {
    return false;
  }
  membership.zonePeers = peers;
  return true;
};

const recordMemberRow = (state: State, row: TableRow<MemberRow>): void => {
  const known = state.membership.members.get(row.body.entryHostId);
  const isSameIncarnation = known?.row.incarnation === row.body.incarnation;
  state.membership.members.set(row.body.entryHostId, {
    row: row.body,
    rowKey: row.key,
    committedAtMs: row.committedAtMs,
    lastMessageAtMs: isSameIncarnation ? known.lastMessageAtMs : Number.NEGATIVE_INFINITY,
    live: true,
  });
};

/** Starts this node's shutdown when another incarnation has replaced its committed heartbeat. */
const detectSuccessor = (state: State, row: TableRow<MemberRow>, effects: Effect[]): void => {
  const { identity } = state.node;
  const isOwnRow = row.key === ownKey(state) && identity.role === NODE_ROLE.ENTRY;
  if (!isOwnRow || row.body.incarnation === identity.incarnation) {
    return;
  }
  if (state.membership.sessionUntilMs === 0 || state.node.supersededBy !== null) {
    return;
  }
  state.node.supersededBy = row.body.incarnation;
  state.node.shutdownStartedAtMs ??= state.nowMs;
  effects.push({
    type: "log/write",
    level: "error",
    event: "node.superseded",
    fields: { by: row.body.incarnation },
    lineClass: LOG_CLASS.KEPT,
  });
};

/**
 * Applies changed heartbeat rows.
 *
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 * @param effects - Receives the effects.
 */
export const applyMembershipRows = (
  state: State,
  rows: readonly TableRow[],
  effects: Effect[],
): void => {
  for (const row of rows) {
    if (row.body.type === "member") {
      const memberRow = row as TableRow<MemberRow>;
      recordMemberRow(state, memberRow);
      detectSuccessor(state, memberRow, effects);
    }
  }
};

/**
 * Extends the membership session after a committed heartbeat, and retries a failed one.
 *
 * @param state - The state to change.
 * @param outcome - Outcome of a heartbeat's write.
 */
export const handleMembershipWriteOutcome = (state: State, outcome: WriteOutcome): void => {
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
  membership.leftCommitted = written?.type === "member" && written.left;
};

/**
 * Exits once all work has ended. The node first records its departure in the table, so that others
 * need not wait for its session to expire, but exits without an answer after a timeout.
 */
const exitWhenShutDown = (state: State, effects: Effect[]): void => {
  const { membership, node } = state;
  if (!isShutDown(state)) {
    return;
  }
  membership.workEndedAtMs ??= state.nowMs;
  const waitedMs = state.nowMs - membership.workEndedAtMs;
  const hasLeft = membership.leftCommitted && hasReturnedGrants(state);
  const canExitNow = hasLeft || node.supersededBy !== null;
  if (canExitNow || waitedMs >= MEMBERSHIP.SHUTDOWN_TIMEOUT_MS) {
    effects.push({ type: "node/exit" });
  }
};

/**
 * Sends this node's heartbeats, and ends the node once it has shut down.
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
  exitWhenShutDown(state, effects);
};
