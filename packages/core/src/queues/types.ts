import type { PoolId } from "@heatherferry/common";
import type { FairQueue } from "@heatherferry/coordination";

export interface QueuesState {
  /** Requests that wait, per pool. */
  pools: Map<PoolId, FairQueue>;
  /** Pools where a request may be able to start since the last look. */
  changed: Set<PoolId>;
}
