import type { EntryHostId } from "@heatherferry/common";
import type { Member } from "../membership/types.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import type { State } from "../state.js";
import { VIEW } from "./constants.js";
import { hostKey } from "./keys.js";
import { silentForMs } from "./silence.js";
import type { HostRow } from "./types.js";

/** A silent entry host has neither a usable view nor work left after this. */
export const VIEW_GONE_AFTER_MS = VIEW.LAPSE_MS + VIEW.MAX_WORK_MS + VIEW.SKEW_MS;

const acknowledged = (member: Member, host: HostRow): boolean =>
  member.row.drained.some(
    ({ hostId, drainEpoch }) => hostId === host.hostId && drainEpoch === host.drainEpoch,
  );

const mayHoldWork = (state: State, member: Member, host: HostRow): boolean => {
  if (member.row.left || acknowledged(member, host)) {
    return false;
  }
  return silentForMs(state, member) < VIEW_GONE_AFTER_MS;
};

/**
 * Whether every entry host that may hold an older view of the host is known here. One whose
 * first heartbeat came after the drain began starts work only by a view with the drain in it.
 *
 * @param state - The state of a maintainer.
 * @param host - A host that leaves.
 * @returns True when the mirror of heartbeats reaches past the start of the drain.
 */
export const seesAllHolders = (state: State, host: HostRow): boolean => {
  const drainVersion = state.platform.mirror.get(hostKey(host.availabilityZone, host.hostId));
  const members = state.platform.ranges.get(rowKeyOf(ROW_PREFIX.MEMBER));
  return (
    drainVersion !== undefined &&
    members !== undefined &&
    members.upToVersion >= drainVersion.version
  );
};

/**
 * @param state - The state of a maintainer.
 * @param host - A host that leaves.
 * @returns The entry hosts that may still have work on it.
 */
export const holdersOf = (state: State, host: HostRow): readonly EntryHostId[] => {
  const holders: EntryHostId[] = [];
  for (const member of state.membership.members.values()) {
    const sameZone = member.row.availabilityZone === host.availabilityZone;
    if (sameZone && mayHoldWork(state, member, host)) {
      holders.push(member.row.entryHostId);
    }
  }
  return holders;
};

/**
 * @param state - The state of a maintainer.
 * @param host - A host that leaves.
 * @returns Whether the host may be stopped: no entry host can have anything in flight there.
 */
export const mayStop = (state: State, host: HostRow): boolean =>
  seesAllHolders(state, host) && holdersOf(state, host).length === 0;
