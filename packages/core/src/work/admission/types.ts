import type { TeamId, ValueOf } from "@heatherferry/common";
import type { PoolAdmission, Resources } from "../types.js";
import type { REFUSAL_REASON, STANDING } from "./constants.js";

export type RefusalReason = ValueOf<typeof REFUSAL_REASON>;

export type Standing = ValueOf<typeof STANDING>;

/** A resource of workers. */
export type Resource = keyof Resources;

/** A waiting submission, as forecasts see it. */
export interface WaitingWork {
  readonly team: TeamId | null;
  readonly standing: Standing;
  /** Priority of its queue; lower numbers go first. */
  readonly priority: number;
  /** Time until its deadline; negative once that has passed. */
  readonly dueInMs: number;
  /** Time until which its start is of any use. */
  readonly usefulForMs: number;
  /** Work of its ready items: a resource times its time in use, in ms. */
  readonly work: Resources;
}

/** What a forecast knows of the capacity of a pool for one resource. */
export interface PoolRoom {
  /** Units of the resource that batch work may use. */
  readonly capacity: number;
  /** Estimated run time relative to the actual one; above 1 where estimates are too long. */
  readonly speed: number;
  /** Units that work arriving within the rates of its teams keeps in use. */
  readonly arriving: number;
}

/** What a node knows of a submission that has just arrived. */
export interface Newcomer {
  readonly team: TeamId;
  /** Rate in submissions per second that its team is entitled to. */
  readonly rate: number;
  readonly priority: number;
  /** A resource times its time in use, in ms. */
  readonly work: Resources;
  /** Time until its deadline, and until which its start is of any use. */
  readonly dueInMs: number;
  readonly usefulForMs: number;
  /** Draw between 0 and 1 that decides whether it belongs to the part within its team's rate. */
  readonly draw: number;
  /** Whether it arrives in a slot in which callers with its id return. */
  readonly inReturnSlot: boolean;
}

/** The published figures that apply to a newcomer. */
export interface AdmissionView {
  readonly ageMs: number;
  /** Null if the pool has no long line. */
  readonly pool: PoolAdmission | null;
  /** Submissions per second that its team makes, with refused ones; null if within its rate. */
  readonly offeredPerS: number | null;
  /** The part of them that arrives at this node. */
  readonly offeredHerePerS: number;
}

/** Decision on a newcomer, with the wait that it faces. */
export type AdmissionDecision =
  | { readonly result: "admit" }
  | {
      readonly result: "refuse";
      /** Time until it would start, at the most that the pool may get through. */
      readonly waitMs: number;
      readonly usefulForMs: number;
      /** Time after which its pool may take another one like it that this node refuses. */
      readonly returnGapMs: number;
    };

/** Averages that the owner keeps of a pool. */
export interface PoolAverages {
  /** Work that arrives within the rates of its teams, per ms; units of each resource. */
  readonly arriving: Record<Resource, number>;
  arrivingAtMs: number;
  /** Estimated and actual run times of ended runs, which older ones contribute less to. */
  estimatedMs: number;
  actualMs: number;
  runTimesAtMs: number;
}

/** An outage of the store, as far as refused calls tell of it. */
export interface StoreOutage {
  readonly sinceMs: number;
  lastRefusalAtMs: number;
  /** When the next refused caller may return. */
  nextReturnAtMs: number;
}

/** Average rate of the submissions of a team. */
export interface OfferedRate {
  perS: number;
  atMs: number;
}

/** A refused submission that a node has not told of yet. */
export interface UntoldRefusal {
  readonly atMs: number;
  /** The team whose rate it exceeded; null if the store could not be reached. */
  readonly beyondRateOf: TeamId | null;
}

/** A refused submission as the owner remembers it. */
export interface RememberedRefusal {
  /** When it was refused for the first time, on the wall clock. */
  readonly firstWallMs: number;
  readonly wasBeyondRate: boolean;
}

/** Calls that were refused, and the lines logged for them. */
export interface RefusalCounts {
  readonly byReason: Record<RefusalReason, number>;
  logIntervalStartedAtMs: number;
  linesInInterval: number;
  linesLeftOut: number;
}
