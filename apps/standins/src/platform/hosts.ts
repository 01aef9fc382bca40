import type { HostId } from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";
import type { ExchangeId } from "../http/types.js";
import { PLATFORM_STAND_IN } from "./constants.js";
import type { HostsState } from "./types.js";

/** Keeps the list with its time, for callers who are shown the past. */
const keepSnapshot = (hosts: HostsState, atMs: number): void => {
  const listed = hosts.declared.filter((host) => !hosts.unavailable.has(host.hostId));
  hosts.snapshots.push({ sinceMs: atMs, hosts: listed });
  if (hosts.snapshots.length > PLATFORM_STAND_IN.KEPT_HOST_LISTS) {
    hosts.snapshots.shift();
  }
};

/** Replaces the list of hosts; all of them are up, but for those that reboot. */
export const setHosts = (
  hosts: HostsState,
  declared: readonly ListedHost[],
  atMs: number,
): void => {
  hosts.declared = declared;
  hosts.unavailable = new Set(hosts.rebooting.keys());
  keepSnapshot(hosts, atMs);
};

/**
 * @param hosts - The slice.
 * @param atMs - The platform's clock.
 * @param lagMs - Age of the list to show.
 * @returns The list as it was then, or the oldest one kept.
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

/** @returns The host, up or not, or undefined where there is none of that id. */
export const findHost = (hosts: HostsState, hostId: HostId): ListedHost | undefined =>
  hosts.declared.find((host) => host.hostId === hostId);

/**
 * Takes a host down; an exchange waits for it to come back.
 *
 * @returns Whether the reboot has to be ordered: false while one is under way.
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
  keepSnapshot(hosts, atMs);
  return true;
};

/**
 * Ends a reboot.
 *
 * @returns The exchanges that waited for it.
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
    keepSnapshot(hosts, atMs);
  }
  return waiting;
};
