import type { AvailabilityZoneId, Revision } from "@heatherferry/common";

/**
 * The limit under which a count was given. Under a lower limit the count shrinks in proportion;
 * at `above` it is nothing, for counts given before may by then use up all that is left.
 */
export interface LimitStamp {
  readonly limit: number;
  /** The highest lower limit under which other counts may still be in use; 0 for none. */
  readonly above: number;
}

/** A count that one incarnation of an entry host may run at once. */
export interface EscrowGrant extends LimitStamp {
  /** `<entry host>/<incarnation>` */
  readonly holder: string;
  readonly base: number;
  readonly burst: number;
  /** Running work beyond base and burst: counts, but starts nothing. */
  readonly held: number;
  /** What the holder could use now. */
  readonly wanted: number;
  /** End of the base grant, on the table's clock. */
  readonly baseUntilMs: number;
  /** End of the burst grant, on the table's clock. */
  readonly burstUntilMs: number;
}

/** A zone's part of one team's limit, split into grants. */
export interface ZoneEscrow extends LimitStamp {
  readonly cap: number;
  readonly grants: readonly EscrowGrant[];
}

/** A zone's part of the limit in the team's own row. */
export interface ZoneCap extends LimitStamp {
  readonly cap: number;
  /** What the zone wants while it cannot have it; 0 for no more than its cap. */
  readonly wanted: number;
  /** Until when that counts, on the table's clock. */
  readonly wantedUntilMs: number;
}

/** A limit that a grant may still be stamped with. */
export interface EarlierLimit {
  readonly limit: number;
  /** On the table's clock. */
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

/** Lengths of grants and the parts of a limit; see {@link ESCROW} for the usual ones. */
export interface EscrowTerms {
  readonly baseTermMs: number;
  readonly burstTermMs: number;
  readonly skewMs: number;
  readonly runTailMs: number;
  /** Zones among which the base is split. */
  readonly zones: number;
  readonly baseFraction: number;
  readonly takeStepFraction: number;
  readonly giveBackFraction: number;
}

/** The limit of a team as the rules in force state it. */
export interface StatedLimit {
  readonly limit: number;
  readonly revision: Revision;
}

/** What a holder asks for in its zone. */
export interface GrantRequest {
  readonly holder: string;
  /** Count that it would like to hold, base included. */
  readonly target: number;
  /** Part of it with the long term. */
  readonly base: number;
  readonly wanted: number;
  /** What it runs now. */
  readonly running: number;
  /** The zone's fair part of the limit; infinite while no other zone waits. */
  readonly zoneShare: number;
}
