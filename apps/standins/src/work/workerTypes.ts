import type { ValueOf } from "@heatherferry/common";
import type { RUN_END } from "./workerConstants.js";

export type RunEnd = ValueOf<typeof RUN_END>;

/** Capacity or needs, with the names of the platform's protocol. */
export interface WireResources {
  /** In thousandths of a core. */
  readonly cpu: number;
  readonly memMb: number;
  readonly gpu: number;
}

export interface WorkerIdentity {
  readonly id: string;
  readonly pool: string;
  readonly zone: string;
  readonly host: string;
  readonly rack: string;
  readonly capacity: WireResources;
}

/** Disturbances of a simulated worker; all may change while it runs. */
export interface WorkerTraits {
  /** It answers nobody and registers no more. */
  down: boolean;
  /** While it is down, calls on new connections wait for its next incarnation. */
  keepsCalls: boolean;
  /** It runs on, but no call reaches it and no answer leaves it. */
  isCutOff: boolean;
  draining: boolean;
  /** It fails every run that it starts. */
  failsAll: boolean;
  /** Runs that it starts make no progress. */
  stalls: boolean;
  /** Share of the orders that it leaves without an answer and carries out later. */
  lateOrderShare: number;
}

/** What the text of a submission tells a simulated worker; the items of a submission share it. */
export interface WorkText {
  /** Null for items that run until they are stopped. */
  readonly workMs: number | null;
  /** Share of the runs that fail by their own fault. */
  readonly failureShare: number;
  /** Step whose first item fails in every run; null for none. */
  readonly hopelessStep: number | null;
  /** Time after which such a run of a long-running item fails, in ms. */
  readonly failAfterMs: number;
}

/** Body of a call to a worker: a start, a stop or a poll. */
export interface WorkerOrder {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly fencingToken: number;
  /** End of the lease, on the worker's clock, in ms. */
  readonly deadlineMs?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
  readonly checkpoint?: string;
}
