import type { QueueId, TeamId } from "@heatherferry/common";

/** What may tell how long a run takes. */
export interface RunTraits {
  readonly queue: QueueId;
  readonly team: TeamId | null;
  readonly image: string | null;
  /** Number of the step in its submission. */
  readonly step: number;
  /** Hash of the data that the run gets. */
  readonly payloadHash: number;
}

/** The kinds that a run belongs to. */
export interface RunKind {
  /** Key of the runs of the same step of the same work. */
  readonly submissionKey: string;
  /** Key of the runs of which is known how they differ from those of their step that ended first. */
  readonly spreadKey: string;
  /** A key for each level, the most specific first; null where a level does not apply. */
  readonly levelKeys: readonly (string | null)[];
  /** Number that stands for the team. */
  readonly team: number;
}

/** How long a run is expected to take. */
export interface Expectation {
  readonly expectedMs: number;
  /** Run time that few runs like it exceed; at least the expected run time. */
  readonly upperMs: number;
  /** Key of the kind that it was learned from; null for the caller's estimate. */
  readonly kind: string | null;
  /** Samples that it rests on; 0 for the caller's estimate. */
  readonly samples: number;
  /** Age of the newest of them; null for the caller's estimate. */
  readonly ageMs: number | null;
}

/** What a kind learns from: a run that ended, or the median of runs of the same step. */
export interface RunSample {
  /** Identifies the step whose runs it stands for; a later sample of the step replaces it. */
  readonly source: number;
  /** Number that stands for the team. */
  readonly team: number;
  readonly durationMs: number;
  readonly estimateMs: number;
  /** What was predicted before its first run ended; null if its kind had no samples. */
  readonly predictedMs: number | null;
}

/**
 * A stored sample: source, team, duration and estimate in ms, and the prediction in ms if there was
 * one.
 */
export type StoredSample = readonly number[];

/** What the row holds of a kind. */
export interface StoredKind {
  readonly key: string;
  /** Age of its newest end when the row was written. */
  readonly ageMs: number;
  /** Samples of it, oldest first. */
  readonly samples: readonly StoredSample[];
}

/** The row from which a new owner gets what the previous one has learned. */
export interface RunTimesRow {
  readonly form: number;
  readonly writtenWallMs: number;
  /** Kinds by level, in the order of the levels. */
  readonly levels: readonly (readonly StoredKind[])[];
}
