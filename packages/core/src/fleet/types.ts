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

/** A host and the only pool that it belongs to. Key: `host/<zone>/<host>`. */
export interface HostRow {
  readonly type: "host";
  readonly hostId: HostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly rack: RackId;
  readonly pool: PoolId;
  readonly address: Address;
  readonly slots: number;
  readonly phase: HostPhase;
  /** Incremented by every drain; entry hosts acknowledge a drain by this number. */
  readonly drainEpoch: number;
  readonly drainReason: DrainReason | null;
  /** The pool that the host joins after the drain; null when it stays in its pool. */
  readonly moveTo: PoolId | null;
  readonly waveId: WaveId | null;
}

/** A host that is out of service for planned maintenance. */
export interface MaintenancePermit {
  readonly hostId: HostId;
  readonly rack: RackId;
  readonly waveId: WaveId | null;
}

/** A host out of service unplanned: the platform's host list does not show it as live. */
export interface AbsentHost {
  readonly hostId: HostId;
  readonly rack: RackId;
}

/**
 * Planned and unplanned absences of a pool. Every transaction that adds an absence writes this
 * row, so that a permit decided on an older version conflicts. Key: `budget/<pool>`.
 */
export interface PoolBudgetRow {
  readonly type: "poolBudget";
  readonly pool: PoolId;
  readonly permits: readonly MaintenancePermit[];
  readonly absent: readonly AbsentHost[];
}

/** The two rows that change together when the drain of a host begins or ends. */
export interface DrainRows {
  readonly host: HostRow;
  readonly budget: PoolBudgetRow;
}

/** The lease of the maintainer that manages a pool. Key: `lease/<pool>`. */
export interface MaintainerLeaseRow {
  readonly type: "maintainerLease";
  readonly pool: PoolId;
  readonly holder: EntryHostId;
  readonly incarnation: Incarnation;
  /** Incremented by every new holder; fences off writes of previous holders. */
  readonly epoch: number;
  readonly termMs: number;
  readonly released: boolean;
}

/** A host in the platform's host list, which lags behind. */
export interface ListedHost {
  readonly hostId: HostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly rack: RackId;
  readonly address: Address;
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** A lease that this maintainer holds; times are on its own clock. */
export interface HeldLease {
  readonly epoch: number;
  /** When this holder acquired the lease; previous holders sent their orders before. */
  readonly acquiredAtMs: number;
  /** End of the term, which counts from the first sending of the write. */
  readonly expiresAtMs: number;
}

/** A reboot that this maintainer ordered. */
export interface RebootOrder {
  readonly drainEpoch: number;
  attempts: number;
  result: "awaited" | "rebooted" | "failed";
  /** Until this time an earlier order for the same reboot may still reach the host. */
  duplicatePossibleUntilMs: number;
}

/** State of the host rows, and of a maintainer's leases and reboots. */
export interface FleetState {
  /** Rows of hosts by host id. */
  hosts: Map<HostId, HostRow>;
  hostsByPool: Map<PoolId, Set<HostId>>;
  /** Draining and stopped hosts. */
  outOfServiceByPool: Map<PoolId, Set<HostId>>;
  /** The platform's host list as last read. */
  listedHosts: Map<HostId, ListedHost>;
  listedAtMs: number | null;
  listInFlight: boolean;
  nextListAtMs: number;
  /** Whether the host list may still differ from the rows. */
  hasUnreconciledList: boolean;
  /** Listed hosts that match no pool and have been logged. */
  hostsWithoutPool: Set<HostId>;
  /** Leases that this maintainer holds. */
  leases: Map<PoolId, HeldLease>;
  /** When this maintainer first found each lease free. */
  leaseFreeSinceMs: Map<PoolId, number>;
  /** Pools of the leases under which writes are in flight; one write per lease at a time. */
  writesInFlight: Map<WriteId, PoolId>;
  nextStepAtMs: number;
  /** Pools whose last write has its outcome; the next one is decided on the next tick. */
  poolsWithSettledWrite: Set<PoolId>;
  rebootOrders: Map<HostId, RebootOrder>;
  /** Table version of this incarnation's first heartbeat; null before it has been read. */
  firstHeartbeatVersion: TableVersion | null;
  /** Until this time an entry host may start work by its view of the host rows. */
  hostViewValidUntilMs: number;
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
  /** Reboots a host on which no work runs. */
  | { readonly type: "host/reboot"; readonly hostId: HostId };
