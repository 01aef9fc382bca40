import type { HostId, PoolId } from "@heatherferry/common";
import type { MoveOrder, UpkeepOrder } from "./events.js";
import type { HostOrderId, WaveRequest } from "./types.js";
import type { WorkerLife } from "./workerState.js";

/** A wave under way. */
export interface WaveWork {
  readonly request: WaveRequest;
  /** When an owner first saw the request, on this node's clock and by the time of day. */
  seenAtMs: number;
  seenWallMs: number;
  readonly doneHosts: Set<HostId>;
  dirty: boolean;
  /** Since when hosts of the wave are in no list. */
  readonly missingSinceMs: Map<HostId, number>;
  /** Hosts ordered down. */
  readonly outHosts: Map<HostId, HostOut>;
  completed: boolean;
}

/** An order to a host that waits until the owner's row names it. */
export type HostOrder =
  ({ readonly type: "power/move" } & MoveOrder) | ({ readonly type: "power/upkeep" } & UpkeepOrder);

/** A host that was ordered down for upkeep. */
export interface HostOut {
  /** What it ran as of the last order. */
  readonly worker: WorkerLife | null;
  readonly orderedAtMs: number;
  /** Orders that were carried out or may yet be. */
  readonly orders: Set<HostOrderId>;
  /** Null until it is known to be down. */
  back: HostReturn | null;
}

/** When a host that is known to be down for upkeep can be back. */
export interface HostReturn {
  /** Until then a worker on the host is a left-over entry, or one that went down with it. */
  readonly workersFromMs: number;
  /** A list of hosts that was asked for after this time tells whether it is back. */
  readonly listsFromMs: number;
}

/** A host whose worker gets no new work, so that another pool can have it. */
export interface HostDrain {
  readonly order: HostOrderId;
  readonly worker: WorkerLife;
  readonly to: PoolId;
  readonly sinceMs: number;
}

/** A host on its way to another pool. */
export interface HostMove {
  readonly order: HostOrderId;
  readonly to: PoolId;
  /** What it ran when the move was ordered. */
  readonly worker: WorkerLife | null;
  readonly orderedAtMs: number;
  confirmed: boolean;
}
