import type { Address, HostId, PoolId, RackId } from "@heatherferry/common";

/** A target as this entry host sees it. */
export interface Target {
  readonly hostId: HostId;
  readonly rack: RackId;
  pool: PoolId;
  address: Address;
  /** Slots of the target, all entry hosts together. */
  slots: number;
  /** Slots that this entry host may use. */
  allowance: number;
  /** Requests of this entry host on it. */
  running: number;
  /** Takes new work: in service, and not ejected. */
  accepting: boolean;
  consecutiveFailures: number;
  /** While set and in the future, the target gets no work. */
  ejectedUntilMs: number | null;
  /** After an ejection one request at a time, until one succeeds. */
  probing: boolean;
  /** Smoothed time from dispatch to the end of the answer. */
  meanServiceMs: number;
}

export interface RoutingState {
  targets: Map<HostId, Target>;
  targetsByPool: Map<PoolId, Target[]>;
  /** Retries still allowed: grows by a fraction of each first attempt. */
  retryTokens: number;
  ejections: number;
}
