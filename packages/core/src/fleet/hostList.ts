import { LOG_CLASS, type HostId, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { mirroredRow, tableNowMs } from "../platform/mirror.js";
import type { State } from "../state.js";
import { DRAIN_REASON, FLEET, FLEET_LEASE, HOST_PHASE } from "./constants.js";
import { drainWrite, type FleetWrite } from "./fleetWrites.js";
import { startingPool } from "./hostNames.js";
import { budgetKey, hostKey } from "./keys.js";
import { holdsLease } from "./leases.js";
import { beginDrain, budgetOf, endDrain, hostsOfPool } from "./permits.js";
import type { AbsentHost, FleetEvent, HostRow, ListedHost } from "./types.js";

const MS_PER_SECOND = 1_000;

/** A long list is read less often, to bound the traffic. */
const listIntervalMs = (hosts: number): number =>
  Math.max(
    FLEET.LIST_MIN_INTERVAL_MS,
    ((hosts * FLEET.LISTED_HOST_BYTES) / FLEET.LIST_BYTES_PER_SECOND) * MS_PER_SECOND,
  );

/**
 * Reads the platform's list when it is due; only under the fleet's lease.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const listWhenDue = (state: State, effects: Effect[]): void => {
  const { fleet } = state;
  const due = !fleet.listInFlight && state.nowMs >= fleet.nextListAtMs;
  if (due && holdsLease(state, FLEET_LEASE)) {
    fleet.listInFlight = true;
    effects.push({ type: "hosts/list" });
  }
};

/**
 * @param state - The state to change.
 * @param event - The list, or that it could not be read.
 */
export const onListed = (
  state: State,
  event: Extract<FleetEvent, { type: "hosts/listed" | "hosts/listFailed" }>,
): void => {
  const { fleet } = state;
  fleet.listInFlight = false;
  if (event.type === "hosts/listed") {
    fleet.listed = new Map(event.hosts.map((host) => [host.hostId, host]));
    fleet.listedAtMs = state.nowMs;
    fleet.listToCompare = true;
  }
  fleet.nextListAtMs = state.nowMs + listIntervalMs(fleet.listed.size);
};

const newRow = (host: ListedHost, pool: PoolId): HostRow => ({
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

const logUnplaced = (state: State, hostId: HostId, effects: Effect[]): void => {
  if (!state.fleet.unplaced.has(hostId)) {
    state.fleet.unplaced.add(hostId);
    const fields = { hostId };
    effects.push({
      type: "log/write",
      level: "warn",
      event: "host.fitsNoPool",
      fields,
      lineClass: LOG_CLASS.ROUTINE,
    });
  }
};

const insertNew = (state: State, effects: Effect[]): FleetWrite | null => {
  const puts = [];
  for (const host of state.fleet.listed.values()) {
    if (state.fleet.hosts.has(host.hostId) || host.state !== "live") {
      continue;
    }
    const rule = startingPool(state.revisions.rules, host.hostId);
    if (rule === null) {
      logUnplaced(state, host.hostId, effects);
    } else {
      const key = hostKey(host.availabilityZone, host.hostId);
      puts.push({ key, body: newRow(host, rule.pool) });
    }
    if (puts.length === FLEET.INSERTS_PER_WRITE) {
      break;
    }
  }
  return puts.length === 0 ? null : { puts };
};

/** The list may still show a host as it was before its row changed. */
const mayLag = (state: State, host: HostRow): boolean => {
  const row = mirroredRow(state, hostKey(host.availabilityZone, host.hostId), "host");
  const tableTimeMs = tableNowMs(state);
  if (row === null || tableTimeMs === null) {
    return true;
  }
  return tableTimeMs - row.committedAtMs < FLEET.LIST_LAG_MS;
};

const isUnplanned = (host: HostRow): boolean =>
  host.phase === HOST_PHASE.IN_SERVICE || host.drainReason === DRAIN_REASON.PLATFORM;

const absentOf = (state: State, pool: PoolId): readonly AbsentHost[] => {
  const absent: AbsentHost[] = [];
  const known = new Set(budgetOf(state, pool).absent.map(({ hostId }) => hostId));
  for (const host of hostsOfPool(state, pool)) {
    const { hostId, rack } = host;
    const live = state.fleet.listed.get(hostId)?.state === "live";
    const fresh = mayLag(state, host);
    if (fresh ? known.has(hostId) : !live && isUnplanned(host)) {
      absent.push({ hostId, rack });
    }
  }
  return absent;
};

const namesOf = (absent: readonly AbsentHost[]): string =>
  absent
    .map(({ hostId }) => hostId)
    .sort()
    .join(" ");

const noteAbsences = (state: State): FleetWrite | null => {
  for (const pool of state.fleet.hostsByPool.keys()) {
    const budget = budgetOf(state, pool);
    const absent = absentOf(state, pool);
    if (namesOf(absent) !== namesOf(budget.absent)) {
      return { puts: [{ key: budgetKey(pool), body: { ...budget, absent } }] };
    }
  }
  return null;
};

const withListedPlace = (state: State, host: HostRow): FleetWrite | null => {
  const listed = state.fleet.listed.get(host.hostId);
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

/** Follows the platform where it takes a host away by itself, or gives it back. */
const followPlatform = (state: State, host: HostRow): FleetWrite | null => {
  const listed = state.fleet.listed.get(host.hostId)?.state;
  const budget = budgetOf(state, host.pool);
  if (listed === "leaving" && host.phase === HOST_PHASE.IN_SERVICE) {
    return drainWrite(beginDrain(host, budget, DRAIN_REASON.PLATFORM));
  }
  if (listed === "live" && host.drainReason === DRAIN_REASON.PLATFORM && !mayLag(state, host)) {
    return drainWrite(endDrain(host, budget));
  }
  return null;
};

const firstDifference = (state: State, effects: Effect[]): FleetWrite | null => {
  const inserts = insertNew(state, effects);
  if (inserts !== null) {
    return inserts;
  }
  for (const host of state.fleet.hosts.values()) {
    const write = followPlatform(state, host) ?? withListedPlace(state, host);
    if (write !== null) {
      return write;
    }
  }
  return noteAbsences(state);
};

/**
 * Compares the platform's list with the rows. The list lags: it adds hosts, notes absences and
 * addresses, and never ends a drain that was asked for here.
 *
 * @param state - The state to change.
 * @param effects - Receives log lines.
 * @returns The next change of rows, or null when rows and list agree.
 */
export const nextListWrite = (state: State, effects: Effect[]): FleetWrite | null => {
  if (!state.fleet.listToCompare) {
    return null;
  }
  const write = firstDifference(state, effects);
  state.fleet.listToCompare = write !== null;
  return write;
};
