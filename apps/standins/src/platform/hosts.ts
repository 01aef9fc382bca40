import type { HostId } from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";
import type { ExchangeId } from "../http/types.js";
import { PLATFORM_STAND_IN } from "./constants.js";
import type { HostsState } from "./types.js";

/** Records the current host list, so that callers can be given an outdated one. */
const recordSnapshot = (hosts: HostsState, atMs: number): void => {
  const listed = hosts.declared.filter((host) => !hosts.unavailable.has(host.hostId));
  hosts.snapshots.push({ sinceMs: atMs, hosts: listed });
  if (hosts.snapshots.length > PLATFORM_STAND_IN.MAX_HOST_SNAPSHOTS) {
    hosts.snapshots.shift();
  }
};

/** Replaces the declared hosts; all of them are up except those that are rebooting. */
export const setHosts = (
  hosts: HostsState,
  declared: readonly ListedHost[],
  atMs: number,
): void => {
  hosts.declared = declared;
  hosts.unavailable = new Set(hosts.rebooting.keys());
  recordSnapshot(hosts, atMs);
};

/**
 * Returns the host list as it was some time ago.
 *
 * @param hosts - State of the hosts.
 * @param atMs - Current time of the platform.
 * @param lagMs - Age of the list to return.
 * @returns The list of that time, or the oldest one that is kept.
 */
export const listHosts = (
  hosts: HostsState,
  atMs: number,
  lagMs: number,
): readonly ListedHost[] => {
  const shownAtMs = atMs - lagMs;
  const shown = hosts.snapshots.findLast((snapshot) => snapshot.sinceMs <= shownAtMs);
  return (shown ?? hosts.snapshots[0])?.hosts ?? [];
};

/** Returns the host with an id, up or not, or undefined if there is none. */
export const findHost = (hosts: HostsState, hostId: HostId): ListedHost | undefined =>
  hosts.declared.find((host) => host.hostId === hostId);

/**
 * Marks a host as rebooting and registers an exchange to answer when the reboot ends.
 *
 * @returns Whether to start a reboot: false if one is already in progress.
 */
export const beginReboot = (
  hosts: HostsState,
  hostId: HostId,
  exchangeId: ExchangeId,
  atMs: number,
): boolean => {
  const waiting = hosts.rebooting.get(hostId);
  if (waiting !== undefined) {
    waiting.push(exchangeId);
    return false;
  }
  hosts.rebooting.set(hostId, [exchangeId]);
  hosts.unavailable.add(hostId);
  recordSnapshot(hosts, atMs);
  return true;
};

/**
 * Records the end of a reboot.
 *
 * @returns The exchanges that waited for the end of the reboot.
 */
export const endReboot = (
  hosts: HostsState,
  hostId: HostId,
  cameBack: boolean,
  atMs: number,
): readonly ExchangeId[] => {
  const waiting = hosts.rebooting.get(hostId) ?? [];
  hosts.rebooting.delete(hostId);
  if (cameBack) {
    hosts.unavailable.delete(hostId);
    recordSnapshot(hosts, atMs);
  }
  return waiting;
};
