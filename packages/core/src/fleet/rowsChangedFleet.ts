import type { PoolId } from "@heatherferry/common";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import type { FleetState, HostRow, MaintainerLeaseRow } from "./types.js";

export const initialFleet = (): FleetState => ({
  hosts: new Map(),
  hostsByPool: new Map(),
  listed: new Map(),
  listedAtMs: null,
  listInFlight: false,
  nextListAtMs: 0,
  listToCompare: false,
  unplaced: new Set(),
  leases: new Map(),
  leaseFreeSinceMs: new Map(),
  writesInFlight: new Map(),
  nextStepAtMs: 0,
  settled: new Set(),
  orders: new Map(),
  joinedAtVersion: null,
  viewUsableUntilMs: 0,
});

const hostIdsOf = (state: State, pool: PoolId): Set<HostRow["hostId"]> => {
  const known = state.fleet.hostsByPool.get(pool) ?? new Set();
  state.fleet.hostsByPool.set(pool, known);
  return known;
};

const takeHost = (state: State, host: HostRow): void => {
  const before = state.fleet.hosts.get(host.hostId);
  if (before !== undefined && before.pool !== host.pool) {
    hostIdsOf(state, before.pool).delete(host.hostId);
  }
  hostIdsOf(state, host.pool).add(host.hostId);
  state.fleet.hosts.set(host.hostId, host);
};

/** A lease that another one holds by now is lost, whatever remains of its term here. */
const takeLease = (state: State, { pool, incarnation }: MaintainerLeaseRow): void => {
  if (incarnation !== state.node.identity.incarnation) {
    state.fleet.leases.delete(pool);
  }
};

/**
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 */
export const rowsChangedFleet = (state: State, rows: readonly TableRow[]): void => {
  for (const { body, version } of rows) {
    if (body.type === "host") {
      takeHost(state, body);
    } else if (body.type === "maintainerLease") {
      takeLease(state, body);
    } else if (body.type === "member" && body.incarnation === state.node.identity.incarnation) {
      state.fleet.joinedAtVersion ??= version;
    }
  }
};
