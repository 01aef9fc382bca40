import type { HostId, PoolId } from "@heatherferry/common";
import type { MoveOrder, UpkeepOrder } from "./events.js";
import type { HostOrderId, WaveRequest } from "./types.js";
import type { WorkerLife } from "./workerState.js";

/** The progress of a maintenance wave. */
export interface WaveWork {
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
  readonly outHosts: Map<HostId, HostOut>;
  completed: boolean;
}

/** An order to a host that waits until the owner's row records the host. */
export type HostOrder =
  ({ readonly type: "power/move" } & MoveOrder) | ({ readonly type: "power/upkeep" } & UpkeepOrder);

/** A host that was ordered to maintenance. */
export interface HostOut {
  /** The worker that the host ran at the last order. */
  readonly worker: WorkerLife | null;
  readonly orderedAtMs: number;
  /** Orders that were carried out or may still be. */
  readonly orders: Set<HostOrderId>;
  /** Null until the host is known to be down. */
  back: HostReturn | null;
}

/** When a host that is known to be in maintenance can be back. */
export interface HostReturn {
  /** A worker registered before this time is stale, or went down with the host. */
  readonly workersFromMs: number;
  /** Host lists requested after this time show whether the host is back. */
  readonly listsFromMs: number;
}

/** A host that is drained so that it can move to another pool. */
export interface HostDrain {
  readonly order: HostOrderId;
  readonly worker: WorkerLife;
  readonly to: PoolId;
  readonly sinceMs: number;
}

/** A host that was ordered to another pool. */
export interface HostMove {
  readonly order: HostOrderId;
  readonly to: PoolId;
  /** The worker that the host ran when the move was ordered. */
  readonly worker: WorkerLife | null;
  readonly orderedAtMs: number;
  confirmed: boolean;
}
