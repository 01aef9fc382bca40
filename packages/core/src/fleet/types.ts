import type {
  Address,
  AvailabilityZoneId,
  EntryHostId,
  HostId,
  Incarnation,
  PoolId,
  RackId,
  TableVersion,
  ValueOf,
  WaveId,
  WriteId,
} from "@heatherferry/common";
import type { DRAIN_REASON, HOST_PHASE, PERMIT_REFUSAL, UNDRAIN_REFUSAL } from "./constants.js";

export type HostPhase = ValueOf<typeof HOST_PHASE>;
export type DrainReason = ValueOf<typeof DRAIN_REASON>;
export type PermitRefusal = ValueOf<typeof PERMIT_REFUSAL>;
export type UndrainRefusal = ValueOf<typeof UNDRAIN_REFUSAL>;

/** A host and the one pool it belongs to. Key: `host/<zone>/<host>`. */
export interface HostRow {
  readonly type: "host";
  readonly hostId: HostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly rack: RackId;
  readonly pool: PoolId;
  readonly address: Address;
  readonly slots: number;
  readonly phase: HostPhase;
  /** Grows with every drain; acknowledgements name it. */
  readonly drainEpoch: number;
  readonly drainReason: DrainReason | null;
  /** The pool it joins after the drain; null to stay. */
  readonly moveTo: PoolId | null;
  readonly waveId: WaveId | null;
}

/** A host that is out of service by plan. */
export interface MaintenancePermit {
  readonly hostId: HostId;
  readonly rack: RackId;
  readonly waveId: WaveId | null;
}

/** A host that the platform's list does not name live. */
export interface AbsentHost {
  readonly hostId: HostId;
  readonly rack: RackId;
}

/**
 * Absences of a pool, planned and unplanned. Whatever raises their number writes this row, so
 * that a permit decided on an older view conflicts. Key: `budget/<pool>`.
 */
export interface PoolBudgetRow {
  readonly type: "poolBudget";
  readonly pool: PoolId;
  readonly permits: readonly MaintenancePermit[];
  readonly absent: readonly AbsentHost[];
}

/** The two rows that change together when a host leaves or comes back. */
export interface DrainRows {
  readonly host: HostRow;
  readonly budget: PoolBudgetRow;
}

/** The maintainer that works on a pool. Key: `lease/<pool>`. */
export interface MaintainerLeaseRow {
  readonly type: "maintainerLease";
  readonly pool: PoolId;
  readonly holder: EntryHostId;
  readonly incarnation: Incarnation;
  /** Grows with every new holder: fences writes of an old one. */
  readonly epoch: number;
  readonly termMs: number;
  readonly released: boolean;
}

/** A host in the platform's lagging list. */
export interface ListedHost {
  readonly hostId: HostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly rack: RackId;
  readonly address: Address;
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** A lease that this maintainer holds, on its own clock. */
export interface HeldLease {
  readonly epoch: number;
  /** When this holder got it: orders of earlier holders were given before. */
  readonly acquiredAtMs: number;
  /** End of the term, counted from before the request was sent. */
  readonly untilMs: number;
}

/** A reboot ordered by this maintainer. */
export interface RebootOrder {
  readonly drainEpoch: number;
  attempts: number;
  result: "awaited" | "rebooted" | "failed";
  /** Until then an earlier order may still reach the host. */
  settledAtMs: number;
}

export interface FleetState {
  /** Hosts by id, as the table has them. */
  hosts: Map<HostId, HostRow>;
  hostsByPool: Map<PoolId, Set<HostId>>;
  /** The platform's list as last read. */
  listed: Map<HostId, ListedHost>;
  listedAtMs: number | null;
  listInFlight: boolean;
  nextListAtMs: number;
  /** Whether the list may still differ from the rows. */
  listToCompare: boolean;
  /** Listed hosts that fit no pool, already logged. */
  unplaced: Set<HostId>;
  /** Leases that this maintainer holds. */
  leases: Map<PoolId, HeldLease>;
  /** When each lease was first seen free. */
  leaseFreeSinceMs: Map<PoolId, number>;
  /** The lease that each unsettled write is made under: one write a lease at a time. */
  writesInFlight: Map<WriteId, PoolId>;
  nextStepAtMs: number;
  /** Leases whose last write was settled: what comes next is decided at the next tick. */
  settled: Set<PoolId>;
  orders: Map<HostId, RebootOrder>;
  /** Version of the first heartbeat of this incarnation; null before it is known. */
  joinedAtVersion: TableVersion | null;
  /** Until then an entry host may start work by its view of the hosts. */
  viewUsableUntilMs: number;
}

export type FleetEvent =
  | {
      readonly type: "hosts/listed";
      readonly atMs: number;
      readonly hosts: readonly ListedHost[];
    }
  | { readonly type: "hosts/listFailed"; readonly atMs: number; readonly reason: string }
  | { readonly type: "host/rebooted"; readonly atMs: number; readonly hostId: HostId }
  | {
      readonly type: "host/rebootFailed";
      readonly atMs: number;
      readonly hostId: HostId;
      readonly reason: string;
    };

export type FleetEffect =
  | { readonly type: "hosts/list" }
  /** Reboot a host that nothing runs on any more. */
  | { readonly type: "host/reboot"; readonly hostId: HostId };
