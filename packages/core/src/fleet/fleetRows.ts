import type { HostId, PoolId } from "@heatherferry/common";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { HOST_PHASE } from "./constants.js";
import type { FleetState, HostRow, MaintainerLeaseRow } from "./types.js";

/** Returns the state of the fleet before any row has been read. */
export const initialFleet = (): FleetState => ({
  hosts: new Map(),
  hostsByPool: new Map(),
  outOfServiceByPool: new Map(),
  listedHosts: new Map(),
  listedAtMs: null,
  listInFlight: false,
  nextListAtMs: 0,
  hasUnreconciledList: false,
  hostsWithoutPool: new Set(),
  leases: new Map(),
  leaseFreeSinceMs: new Map(),
  writesInFlight: new Map(),
  nextStepAtMs: 0,
  poolsWithSettledWrite: new Set(),
  rebootOrders: new Map(),
  firstHeartbeatVersion: null,
  hostViewValidUntilMs: 0,
});

const hostIdsOf = (index: Map<PoolId, Set<HostId>>, pool: PoolId): Set<HostId> => {
  const hostIds = index.get(pool) ?? new Set();
  index.set(pool, hostIds);
  return hostIds;
};

const applyHostRow = (state: State, host: HostRow): void => {
  const { hosts, hostsByPool, outOfServiceByPool } = state.fleet;
  const previousPool = hosts.get(host.hostId)?.pool ?? host.pool;
  hostIdsOf(hostsByPool, previousPool).delete(host.hostId);
  hostIdsOf(outOfServiceByPool, previousPool).delete(host.hostId);
  hostIdsOf(hostsByPool, host.pool).add(host.hostId);
  if (host.phase !== HOST_PHASE.IN_SERVICE) {
    hostIdsOf(outOfServiceByPool, host.pool).add(host.hostId);
  }
  hosts.set(host.hostId, host);
};

/** Drops a lease that another incarnation now holds, even before its term ends here. */
const applyLeaseRow = (state: State, { pool, incarnation }: MaintainerLeaseRow): void => {
  if (incarnation !== state.node.identity.incarnation) {
    state.fleet.leases.delete(pool);
  }
};

/**
 * Applies changed rows of the mirror to the state of the fleet.
 *
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 */
export const applyFleetRows = (state: State, rows: readonly TableRow[]): void => {
  for (const { body, version } of rows) {
    if (body.type === "host") {
      applyHostRow(state, body);
    } else if (body.type === "maintainerLease") {
      applyLeaseRow(state, body);
    } else if (body.type === "member" && body.incarnation === state.node.identity.incarnation) {
      state.fleet.firstHeartbeatVersion ??= version;
    }
  }
};
