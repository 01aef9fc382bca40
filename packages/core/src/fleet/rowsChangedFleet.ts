import type { HostId, PoolId } from "@heatherferry/common";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { HOST_PHASE } from "./constants.js";
import type { FleetState, HostRow, MaintainerLeaseRow } from "./types.js";

export const initialFleet = (): FleetState => ({
  hosts: new Map(),
  hostsByPool: new Map(),
  outByPool: new Map(),
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

const hostIdsOf = (index: Map<PoolId, Set<HostId>>, pool: PoolId): Set<HostId> => {
  const known = index.get(pool) ?? new Set();
  index.set(pool, known);
  return known;
};

const takeHost = (state: State, host: HostRow): void => {
  const { hosts, hostsByPool, outByPool } = state.fleet;
  const poolBefore = hosts.get(host.hostId)?.pool ?? host.pool;
  hostIdsOf(hostsByPool, poolBefore).delete(host.hostId);
  hostIdsOf(outByPool, poolBefore).delete(host.hostId);
  hostIdsOf(hostsByPool, host.pool).add(host.hostId);
  if (host.phase !== HOST_PHASE.IN_SERVICE) {
    hostIdsOf(outByPool, host.pool).add(host.hostId);
  }
  hosts.set(host.hostId, host);
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
