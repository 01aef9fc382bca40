import type { EntryHostId } from "@heatherferry/common";
import type { Member } from "../membership/types.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";
import type { State } from "../state.js";
import { HOST_VIEW } from "./constants.js";
import { hostKey } from "./keys.js";
import { heartbeatAgeMs } from "./heartbeatAge.js";
import type { HostRow } from "./types.js";

/** Time without a heartbeat after which an entry host has neither a valid view nor running work. */
export const ENTRY_HOST_IDLE_AFTER_MS =
  HOST_VIEW.TTL_MS + HOST_VIEW.MAX_WORK_MS + HOST_VIEW.MAX_CLOCK_DRIFT_MS;

const hasAcknowledged = (member: Member, host: HostRow): boolean =>
  member.row.drained.some(
    ({ hostId, drainEpoch }) => hostId === host.hostId && drainEpoch === host.drainEpoch,
  );

const mayHaveWork = (state: State, member: Member, host: HostRow): boolean => {
  if (member.row.left || hasAcknowledged(member, host)) {
    return false;
  }
  return heartbeatAgeMs(state, member) < ENTRY_HOST_IDLE_AFTER_MS;
};

/**
 * Whether this maintainer knows every entry host whose view may predate the drain of a host. An
 * entry host whose first heartbeat was committed after the drain began starts work only by a view
 * that contains the drain.
 *
 * @param state - The state of a maintainer.
 * @param host - A draining host.
 * @returns True when the mirror contains all heartbeats up to the start of the drain.
 */
export const knowsAllEntryHosts = (state: State, host: HostRow): boolean => {
  const hostRow = state.platform.mirror.get(hostKey(host.availabilityZone, host.hostId));
  const members = state.platform.ranges.get(rowKeyOf(ROW_PREFIX.MEMBER));
  return hostRow !== undefined && members !== undefined && members.upToVersion >= hostRow.version;
};

/**
 * Returns the entry hosts of the zone that may still have work in flight on a draining host.
 *
 * @param state - The state of a maintainer.
 * @param host - A draining host.
 */
export const entryHostsWithWork = (state: State, host: HostRow): readonly EntryHostId[] => {
  const entryHosts: EntryHostId[] = [];
  for (const member of state.membership.members.values()) {
    const sameZone = member.row.availabilityZone === host.availabilityZone;
    if (sameZone && mayHaveWork(state, member, host)) {
      entryHosts.push(member.row.entryHostId);
    }
  }
  return entryHosts;
};

/**
 * Whether a draining host may be stopped because no entry host can have work in flight on it.
 *
 * @param state - The state of a maintainer.
 * @param host - A draining host.
 */
export const mayStop = (state: State, host: HostRow): boolean =>
  knowsAllEntryHosts(state, host) && entryHostsWithWork(state, host).length === 0;
