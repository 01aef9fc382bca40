import { LOG_CLASS, type HostId, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { mirroredRow, tableNowMs } from "../platform/mirror.js";
import type { State } from "../state.js";
import { DRAIN_REASON, FLEET, FLEET_LEASE, HOST_PHASE } from "./constants.js";
import { drainWrite, type FleetWrite } from "./fleetWrites.js";
import { initialPool } from "./initialPool.js";
import { budgetKey, hostKey } from "./keys.js";
import { holdsLease } from "./leases.js";
import { beginDrain, budgetOf, endDrain, hostsOfPool } from "./permits.js";
import type { AbsentHost, FleetEvent, HostRow, ListedHost } from "./types.js";

const MS_PER_SECOND = 1_000;

/** Returns the interval between reads of the list; longer for long lists, to limit the traffic. */
const listIntervalMs = (hostCount: number): number =>
  Math.max(
    FLEET.LIST_MIN_INTERVAL_MS,
    ((hostCount * FLEET.LISTED_HOST_BYTES) / FLEET.LIST_BYTES_PER_SECOND) * MS_PER_SECOND,
  );

/**
 * Requests the platform's host list when it is due and this maintainer holds the fleet lease.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const requestHostListWhenDue = (state: State, effects: Effect[]): void => {
  const { fleet } = state;
  const due = !fleet.listInFlight && state.nowMs >= fleet.nextListAtMs;
  if (due && holdsLease(state, FLEET_LEASE)) {
    fleet.listInFlight = true;
    effects.push({ type: "hosts/list" });
  }
};

/**
 * Stores the platform's host list and schedules the next read.
 *
 * @param state - The state to change.
 * @param event - The host list, or the failure to read it.
 */
export const handleHostList = (
  state: State,
  event: Extract<FleetEvent, { type: "hosts/listed" | "hosts/listFailed" }>,
): void => {
  const { fleet } = state;
  fleet.listInFlight = false;
  if (event.type === "hosts/listed") {
    fleet.listedHosts = new Map(event.hosts.map((host) => [host.hostId, host]));
    fleet.listedAtMs = state.nowMs;
    fleet.hasUnreconciledList = true;
  }
  fleet.nextListAtMs = state.nowMs + listIntervalMs(fleet.listedHosts.size);
};

const newHostRow = (host: ListedHost, pool: PoolId): HostRow => ({
  type: "host",
  hostId: host.hostId,
  availabilityZone: host.availabilityZone,
  rack: host.rack,
  pool,
  address: host.address,
  slots: host.slots,
  phase: HOST_PHASE.IN_SERVICE,
  drainEpoch: 0,
  drainReason: null,
  moveTo: null,
  waveId: null,
});

const logHostWithoutPool = (state: State, hostId: HostId, effects: Effect[]): void => {
  if (!state.fleet.hostsWithoutPool.has(hostId)) {
    state.fleet.hostsWithoutPool.add(hostId);
    const fields = { hostId };
    effects.push({
      type: "log/write",
      level: "warn",
      event: "host.noMatchingPool",
      fields,
      lineClass: LOG_CLASS.ROUTINE,
    });
  }
};

const insertNewHosts = (state: State, effects: Effect[]): FleetWrite | null => {
  const puts = [];
  for (const host of state.fleet.listedHosts.values()) {
    if (state.fleet.hosts.has(host.hostId) || host.state !== "live") {
      continue;
    }
    const rule = initialPool(state.revisions.rules, host.hostId);
    if (rule === null) {
      logHostWithoutPool(state, host.hostId, effects);
    } else {
      const key = hostKey(host.availabilityZone, host.hostId);
      puts.push({ key, body: newHostRow(host, rule.pool) });
    }
    if (puts.length === FLEET.INSERTS_PER_WRITE) {
      break;
    }
  }
  return puts.length === 0 ? null : { puts };
};

/** Whether the host list may be older than the last change of the host's row. */
const mayBeOutdated = (state: State, host: HostRow): boolean => {
  const row = mirroredRow(state, hostKey(host.availabilityZone, host.hostId), "host");
  const tableTimeMs = tableNowMs(state);
  if (row === null || tableTimeMs === null) {
    return true;
  }
  return tableTimeMs - row.committedAtMs < FLEET.MAX_LIST_LAG_MS;
};

const isUnplanned = (host: HostRow): boolean =>
  host.phase === HOST_PHASE.IN_SERVICE || host.drainReason === DRAIN_REASON.PLATFORM;

const absentHostsOf = (state: State, pool: PoolId): readonly AbsentHost[] => {
  const absent: AbsentHost[] = [];
  const recorded = new Set(budgetOf(state, pool).absent.map(({ hostId }) => hostId));
  for (const host of hostsOfPool(state, pool)) {
    const { hostId, rack } = host;
    const isLive = state.fleet.listedHosts.get(hostId)?.state === "live";
    const isListOutdated = mayBeOutdated(state, host);
    if (isListOutdated ? recorded.has(hostId) : !isLive && isUnplanned(host)) {
      absent.push({ hostId, rack });
    }
  }
  return absent;
};

const hostIdsText = (absent: readonly AbsentHost[]): string =>
  absent
    .map(({ hostId }) => hostId)
    .sort()
    .join(" ");

const recordAbsences = (state: State): FleetWrite | null => {
  for (const pool of state.fleet.hostsByPool.keys()) {
    const budget = budgetOf(state, pool);
    const absent = absentHostsOf(state, pool);
    if (hostIdsText(absent) !== hostIdsText(budget.absent)) {
      return { puts: [{ key: budgetKey(pool), body: { ...budget, absent } }] };
    }
  }
  return null;
};

const updateListedFields = (state: State, host: HostRow): FleetWrite | null => {
  const listed = state.fleet.listedHosts.get(host.hostId);
  if (listed?.availabilityZone !== host.availabilityZone) {
    return null;
  }
  const { address, slots, rack } = listed;
  if (address === host.address && slots === host.slots && rack === host.rack) {
    return null;
  }
  const key = hostKey(host.availabilityZone, host.hostId);
  return { puts: [{ key, body: { ...host, address, slots, rack } }] };
};

/** Begins a drain when the platform withdraws a host, and ends it when the host is live again. */
const followPlatformDrain = (state: State, host: HostRow): FleetWrite | null => {
  const listedState = state.fleet.listedHosts.get(host.hostId)?.state;
  const budget = budgetOf(state, host.pool);
  if (listedState === "leaving" && host.phase === HOST_PHASE.IN_SERVICE) {
    return drainWrite(beginDrain(host, budget, DRAIN_REASON.PLATFORM));
  }
  if (
    listedState === "live" &&
    host.drainReason === DRAIN_REASON.PLATFORM &&
    !mayBeOutdated(state, host)
  ) {
    return drainWrite(endDrain(host, budget));
  }
  return null;
};

const reconcileNext = (state: State, effects: Effect[]): FleetWrite | null => {
  const inserts = insertNewHosts(state, effects);
  if (inserts !== null) {
    return inserts;
  }
  for (const host of state.fleet.hosts.values()) {
    const write = followPlatformDrain(state, host) ?? updateListedFields(state, host);
    if (write !== null) {
      return write;
    }
  }
  return recordAbsences(state);
};

/**
 * Reconciles the host rows with the platform's host list. Because the list lags behind the rows,
 * reconciliation only inserts hosts, records absences, updates addresses, slots and racks, and
 * begins or ends drains that the platform initiates. It never ends any other drain.
 *
 * @param state - The state to change.
 * @param effects - Receives log lines.
 * @returns The next transaction, or null when the rows agree with the list.
 */
export const nextHostListWrite = (state: State, effects: Effect[]): FleetWrite | null => {
  if (!state.fleet.hasUnreconciledList) {
    return null;
  }
  const write = reconcileNext(state, effects);
  state.fleet.hasUnreconciledList = write !== null;
  return write;
};
