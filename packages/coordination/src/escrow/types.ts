import type { AvailabilityZoneId, Revision } from "@heatherferry/common";

/**
 * The limit under which a count was granted. Under a lower limit the count shrinks in proportion.
 * It reaches 0 at `above`, since counts granted under that limit may use up all of it.
 */
export interface LimitStamp {
  readonly limit: number;
  /** The highest lower limit under which other counts may still be in use; 0 for none. */
  readonly above: number;
}

/** The right of one incarnation of an entry host to run a count of requests at once. */
export interface EscrowGrant extends LimitStamp {
  /** `<entry host>/<incarnation>` */
  readonly holder: string;
  /** Count with the long term. */
  readonly base: number;
  /** Count with the short term. */
  readonly burst: number;
  /** Running work beyond base and burst: charged against the cap, but allows no new starts. */
  readonly held: number;
  /** Count that the holder could use now. */
  readonly wanted: number;
  /** When the base expires, on the table's clock. */
  readonly baseUntilMs: number;
  /** When the burst expires, on the table's clock. */
  readonly burstUntilMs: number;
}

/** A zone's part of a team's limit, split into grants. */
export interface ZoneEscrow extends LimitStamp {
  readonly cap: number;
  readonly grants: readonly EscrowGrant[];
}

/** A zone's part of the limit as recorded in the team's row. */
export interface ZoneCap extends LimitStamp {
  readonly cap: number;
  /** Count that the zone wants where it exceeds its cap; 0 where it has had no unmet demand. */
  readonly wanted: number;
  /** When `wanted` expires, on the table's clock. */
  readonly wantedUntilMs: number;
}

/** An earlier limit that the stamp of a grant may still name. */
export interface EarlierLimit {
  readonly limit: number;
  /** When the last such grant has ended at the latest, on the table's clock. */
  readonly untilMs: number;
}

/** A team's limit split into the caps of zones. */
export interface TeamEscrow {
  readonly limit: number;
  /** Revision of the rules that stated the limit. */
  readonly revision: Revision;
  readonly zones: Readonly<Record<AvailabilityZoneId, ZoneCap>>;
  readonly earlier: readonly EarlierLimit[];
}

/** Lengths of grants and fractions of a limit; see {@link ESCROW} for the defaults. */
export interface EscrowTerms {
  readonly baseTermMs: number;
  readonly burstTermMs: number;
  readonly skewMs: number;
  readonly runTailMs: number;
  /** Number of zones among which the base is split. */
  readonly zones: number;
  readonly baseFraction: number;
  readonly acquireStepFraction: number;
  readonly releaseThresholdFraction: number;
}

/** A team's limit as stated by the rules in force. */
export interface StatedLimit {
  readonly limit: number;
  readonly revision: Revision;
}

/** A holder's request for a grant in its zone. */
export interface GrantRequest {
  /** `<entry host>/<incarnation>` */
  readonly holder: string;
  /** Count that the holder asks for, base included. */
  readonly target: number;
  /** Part of `target` with the long term. */
  readonly base: number;
  /** Demand to publish in the grant. */
  readonly wanted: number;
  /** Count that the holder is running now. */
  readonly running: number;
  /** The zone's fair share of the limit; infinite while no other zone has unmet demand. */
  readonly zoneShare: number;
}
