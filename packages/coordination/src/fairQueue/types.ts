import type { RequestId, TeamId } from "@heatherferry/common";

/** Requests in order of arrival. A removed one leaves a tombstone (null) that is skipped later. */
export interface TombstoneFifo {
  items: (RequestId | null)[];
  /** Index of the first item that may still be waiting. */
  head: number;
}

/** Waiting requests of one team, and the team's position in virtual time. */
export interface TeamQueue {
  readonly team: TeamId;
  /** Weight of the team. */
  share: number;
  /** Virtual time at which the team's next request starts. */
  startTag: number;
  /** Number of waiting requests, without tombstones. */
  length: number;
  readonly urgent: TombstoneFifo;
  readonly ordinary: TombstoneFifo;
}

/** Start-time fair queue (SFQ) over teams, weighted by share and charged by slot time. */
export interface FairQueue {
  /** The highest start tag of a request that has started. */
  virtualTime: number;
  /** Number of waiting requests of all teams. */
  length: number;
  readonly teams: Map<TeamId, TeamQueue>;
  /** Position of each waiting request, so that a cancellation takes constant time. */
  readonly positions: Map<RequestId, FairQueuePosition>;
}

/** Where a waiting request is in the queue. */
export interface FairQueuePosition {
  readonly teamQueue: TeamQueue;
  readonly fifo: TombstoneFifo;
  /** Index in the FIFO's items. */
  index: number;
}

/** The request to start next, and its team. */
export interface PickedRequest {
  readonly team: TeamId;
  readonly requestId: RequestId;
}
