import type { RequestId, TeamId } from "@heatherferry/common";

/** Requests in order of arrival; a cancelled one leaves a hole that is skipped on the way out. */
export interface HoleyFifo {
  items: (RequestId | null)[];
  head: number;
}

/** Requests of one team that wait, and the team's place in virtual time. */
export interface TeamQueue {
  readonly team: TeamId;
  share: number;
  /** Virtual time at which the team's next request starts. */
  startTag: number;
  /** Waiting requests, holes not counted. */
  length: number;
  readonly urgent: HoleyFifo;
  readonly ordinary: HoleyFifo;
}

/** Start-time fair queue over teams, weighted by share and charged by slot time. */
export interface FairQueue {
  virtualTime: number;
  length: number;
  readonly teams: Map<TeamId, TeamQueue>;
  /** Where each waiting request stands, for cancelling in constant time. */
  readonly places: Map<RequestId, FairQueuePlace>;
}

export interface FairQueuePlace {
  readonly teamQueue: TeamQueue;
  readonly fifo: HoleyFifo;
  /** Position in the fifo's items. */
  index: number;
}

export interface PickedRequest {
  readonly team: TeamId;
  readonly requestId: RequestId;
}
