import type { Address, HostId, PoolId, RackId } from "@heatherferry/common";

/** A target in the view of this entry host. */
export interface Target {
  readonly hostId: HostId;
  readonly rack: RackId;
  pool: PoolId;
  address: Address;
  /** Slots of the target, shared by all entry hosts. */
  slots: number;
  /** Slots that this entry host may use. */
  allowance: number;
  /** Requests of this entry host that run on the target. */
  running: number;
  /** Whether the target takes new work: its host is in service, and it is not ejected. */
  accepting: boolean;
  consecutiveFailures: number;
  /** Until this time the target gets no work; null when it is not ejected. */
  ejectedUntilMs: number | null;
  /** Whether the target gets one request at a time after an ejection, until one succeeds. */
  probing: boolean;
  /** Moving average of the time from dispatch to the end of the answer. */
  meanServiceMs: number;
}

/** Targets of the zone, and the retry budget of this node. */
export interface RoutingState {
  targets: Map<HostId, Target>;
  targetsByPool: Map<PoolId, Target[]>;
  /** Tokens left for retries; each first attempt adds a fraction of one. */
  retryTokens: number;
  /** Number of ejections since the node started. */
  ejections: number;
}
