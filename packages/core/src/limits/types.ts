import type { AttemptId, AvailabilityZoneId, TeamId } from "@heatherferry/common";
import type { EscrowGrant, EscrowTerms, TeamEscrow, ZoneEscrow } from "@heatherferry/coordination";

/** The team's limit split into zone caps. Key: `escrow/team/<team>`. */
export interface TeamEscrowRow extends TeamEscrow {
  readonly type: "teamEscrow";
  readonly team: TeamId;
}

/** A zone's cap of one team's limit, split into grants. Key: `escrow/zone/<zone>/<team>`. */
export interface ZoneEscrowRow extends ZoneEscrow {
  readonly type: "zoneEscrow";
  readonly availabilityZone: AvailabilityZoneId;
  readonly team: TeamId;
}

/** What this entry host holds for one team. */
export interface TeamHolding {
  readonly team: TeamId;
  running: number;
  /** This incarnation's grant as the mirrored row has it. */
  grant: EscrowGrant | null;
  /** A write under way changes the grant: until it is settled the lower of both counts. */
  changing: boolean;
  /** The grant as that write has it. */
  changedGrant: EscrowGrant | null;
  /** What could run at once, were there no limit; falls only after a while. */
  wanted: number;
  wantedAtMs: number;
  /** Nothing was due at the last look; looked at again then, or when something changes. */
  lookAtMs: number;
  /** Since when the zone has had more of the limit than it uses. */
  unusedSinceMs: number | null;
}

export interface LimitsState {
  terms: EscrowTerms;
  holdings: Map<TeamId, TeamHolding>;
  writeInFlight: boolean;
  nextWriteAtMs: number;
  nextCheckAtMs: number;
  /** Set while rows are read anew for the next write; only a read sent later counts. */
  readingSinceMs: number | null;
  /** Teams whose own rows that read asked for. */
  readingTeams: Set<TeamId>;
  /** Teams that the next write may change; falls with conflicts. */
  batchSize: number;
  /** The table's clock is at most this far ahead of this node's. */
  tableLatestOffsetMs: number | null;
  /** Attempts that were told to stop because no grant covers them any more. */
  stopped: Set<AttemptId>;
  counters: { writes: number; conflicts: number; stopped: number };
}
