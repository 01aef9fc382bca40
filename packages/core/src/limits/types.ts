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

/** What this entry host holds of one team's limit, and its demand. */
export interface TeamHolding {
  readonly team: TeamId;
  /** Attempts of the team that hold a slot of a target. */
  running: number;
  /** This incarnation's grant as in the mirror. */
  grant: EscrowGrant | null;
  /** Whether a write in flight changes the grant; until it ends, the lower grant applies. */
  hasPendingWrite: boolean;
  /** The grant as the write in flight sets it. */
  pendingGrant: EscrowGrant | null;
  /** Peak of recent demand: how many requests could run at once if there were no limit. */
  wanted: number;
  /** When `wanted` was last set. */
  wantedAtMs: number;
  /** Time of the next check after nothing was due; 0 as soon as something changes. */
  recheckAtMs: number;
  /** Time since when the zone has had more unused cap than it may keep; null while it has not. */
  unusedSinceMs: number | null;
}

export interface LimitsState {
  terms: EscrowTerms;
  holdings: Map<TeamId, TeamHolding>;
  writeInFlight: boolean;
  nextWriteAtMs: number;
  nextCheckAtMs: number;
  /** When a new read of rows for the next write was requested; reads sent earlier do not count. */
  readingSinceMs: number | null;
  /** Teams whose own rows are part of that read. */
  readingTeams: Set<TeamId>;
  /** Most teams that the next write may change; halved by a conflict, doubled by a commit. */
  batchSize: number;
  /** Upper bound on the lead of the table's clock over this node's; null before the first read. */
  tableLatestOffsetMs: number | null;
  /** Attempts that were aborted, since no grant covers them any more, and have not ended yet. */
  abortedAttempts: Set<AttemptId>;
  counters: { writes: number; conflicts: number; stopped: number };
}
