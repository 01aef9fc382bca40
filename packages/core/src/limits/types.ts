import type { AvailabilityZoneId, Revision, TeamId } from "@heatherferry/common";

/** The team's limit split into zone caps; the sum of caps never exceeds the limit. Key: `escrow/team/<team>`. */
export interface TeamEscrowRow {
  readonly type: "teamEscrow";
  readonly team: TeamId;
  readonly limit: number;
  /** Revision of the rules that stated the limit. */
  readonly revision: Revision;
  readonly zoneCaps: Readonly<Record<AvailabilityZoneId, number>>;
}

/** Grants of one team in a zone. */
export interface ZoneTeamEscrow {
  readonly cap: number;
  /** The team's limit when the cap was given. */
  readonly limit: number;
  readonly grants: readonly EscrowGrant[];
}

/** A count that one incarnation of an entry host may run at once. */
export interface EscrowGrant {
  /** `<entry host>/<incarnation>` */
  readonly holder: string;
  readonly base: number;
  readonly burst: number;
  /** End of the base grant, on the table's clock. */
  readonly baseUntilMs: number;
  /** End of the burst grant, on the table's clock. */
  readonly burstUntilMs: number;
}

/** The zone's caps split into grants. Key: `escrow/zone/<zone>`. */
export interface ZoneEscrowRow {
  readonly type: "zoneEscrow";
  readonly availabilityZone: AvailabilityZoneId;
  readonly teams: Readonly<Record<TeamId, ZoneTeamEscrow>>;
}

/** What this entry host holds for one team. */
export interface TeamHolding {
  running: number;
  base: number;
  burst: number;
  /** Ends on this node's own clock, counted from before the request was sent. */
  baseUntilMs: number;
  burstUntilMs: number;
  /** The team's limit when the grant was given. */
  grantedLimit: number;
  /** Requests that could start if the holding were larger. */
  wanted: number;
}

export interface LimitsState {
  holdings: Map<TeamId, TeamHolding>;
  writeInFlight: boolean;
  nextWriteAtMs: number;
}
