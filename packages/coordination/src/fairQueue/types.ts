import type { RequestId, TeamId } from "@heatherferry/common";

/** Requests of one team that wait, and the team's place in virtual time. */
export interface TeamQueue {
  readonly team: TeamId;
  share: number;
  /** Virtual time at which the team's next request may start. */
  startTag: number;
  /** Live entries; cancelled ones leave a hole that is skipped on the way. */
  length: number;
  urgent: (RequestId | null)[];
  ordinary: (RequestId | null)[];
  urgentHead: number;
  ordinaryHead: number;
}

/** Start-time fair queue over teams, weighted by share. */
export interface FairQueue {
  virtualTime: number;
  teams: Map<TeamId, TeamQueue>;
  /** Where each waiting request stands, for cancelling in constant time. */
  places: Map<RequestId, { team: TeamId; urgent: boolean; index: number }>;
}
