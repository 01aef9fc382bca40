import type { HostId, PoolId } from "@heatherferry/common";
import type { MoveOrder, MaintenanceOrder } from "../events.js";
import type { HostOrderId, WaveRequest } from "../types.js";
import type { WorkerIncarnation } from "../workers/workerState.js";

/** The progress of a maintenance wave. */
export interface MaintenanceWave {
  readonly request: WaveRequest;
  /** When an owner first saw the request, on this node's monotonic clock and on the wall clock. */
  seenAtMs: number;
  seenWallMs: number;
  readonly doneHosts: Set<HostId>;
  /** Progress that is not stored yet. */
  dirty: boolean;
  /** Since when hosts of the wave have been missing from host lists. */
  readonly missingSinceMs: Map<HostId, number>;
  /** Hosts ordered to maintenance that are not back yet. */
  readonly hostsInMaintenance: Map<HostId, HostMaintenance>;
  completed: boolean;
}

/** An order to a host that waits until the owner's row records the host. */
export type HostOrder =
  | ({ readonly type: "power/move" } & MoveOrder)
  | ({ readonly type: "power/upkeep" } & MaintenanceOrder);

/** A host that was ordered to maintenance. */
export interface HostMaintenance {
  /** The worker that the host ran at the last order. */
  readonly worker: WorkerIncarnation | null;
  readonly orderedAtMs: number;
  /** Orders that were carried out or may still be. */
  readonly orderIds: Set<HostOrderId>;
  /** Null until the host is known to be down. */
  expectedReturn: ExpectedReturn | null;
}

/** When a host that is known to be in maintenance can be back. */
export interface ExpectedReturn {
  /** A worker registered before this time is stale, or went down with the host. */
  readonly trustWorkersFromMs: number;
  /** Host lists requested after this time show whether the host is back. */
  readonly trustListsFromMs: number;
}

/** A host that is drained so that it can move to another pool. */
export interface HostDrain {
  readonly order: HostOrderId;
  readonly worker: WorkerIncarnation;
  readonly to: PoolId;
  readonly startedAtMs: number;
}

/** A host that was ordered to another pool. */
export interface HostMove {
  readonly order: HostOrderId;
  readonly to: PoolId;
  /** The worker that the host ran when the move was ordered. */
  readonly worker: WorkerIncarnation | null;
  readonly orderedAtMs: number;
  accepted: boolean;
}
