import type { PoolId } from "@heatherferry/common";
import type { FairQueue } from "@heatherferry/coordination";

export interface QueuesState {
  /** Queued requests by pool. */
  pools: Map<PoolId, FairQueue>;
  /** Pools in which a request may have become startable since the last check. */
  poolsToRecheck: Set<PoolId>;
}
