import type { PoolId } from "@heatherferry/common";
import type { FairQueue } from "@heatherferry/coordination";

export interface QueuesState {
  /** Requests that wait, per pool. */
  pools: Map<PoolId, FairQueue>;
}
