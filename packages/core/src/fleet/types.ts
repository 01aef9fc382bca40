import type {
  Address,
  AvailabilityZoneId,
  EntryHostId,
  HostId,
  Incarnation,
  PoolId,
  RackId,
  ValueOf,
  WaveId,
} from "@heatherferry/common";
import type { DRAIN_REASON, HOST_PHASE } from "./constants.js";

export type HostPhase = ValueOf<typeof HOST_PHASE>;
export type DrainReason = ValueOf<typeof DRAIN_REASON>;

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

/** Planned absences of a pool. Key: `budget/<pool>`. */
export interface PoolBudgetRow {
  readonly type: "poolBudget";
  readonly pool: PoolId;
  readonly permits: readonly MaintenancePermit[];
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

export interface FleetState {
  /** Hosts by id, as the table has them. */
  hosts: Map<HostId, HostRow>;
  /** The platform's list as last read. */
  listed: Map<HostId, ListedHost>;
  listedAtMs: number | null;
  /** Pools whose lease this maintainer holds. */
  leases: Map<PoolId, { epoch: number; untilMs: number }>;
  nextStepAtMs: number;
  listInFlight: boolean;
  /** Orders given to the platform and not yet answered. */
  ordersInFlight: Set<HostId>;
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
