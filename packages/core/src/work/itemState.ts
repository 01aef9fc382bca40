import type { Backlog } from "./backlog.js";
import type {
  HandIn,
  ItemKey,
  ItemPhase,
  Resources,
  RunPhase,
  StepSpec,
  StoreVersion,
  SubmissionState,
  WorkerId,
} from "./types.js";

/** A run of an item on a worker, from the order until its end is known. */
export interface Run {
  readonly item: Item;
  readonly number: number;
  readonly worker: WorkerId;
  /** What it takes of the worker's room. */
  readonly room: Resources;
  /** The same as a part of the worker, by the resource of which it takes most. */
  readonly share: number;
  phase: RunPhase;
  orderedAtMs: number;
  /** Orders to start it that were sent. */
  startsSent: number;
  /** Orders to start it whose outcome an answer told; the others may be carried out late. */
  startsAnswered: number;
  /** When the last order to start it was sent. */
  startSentAtMs: number | null;
  /** Since when no order is under way although none was answered; looks sent later tell. */
  unansweredAtMs: number | null;
  /** State that it was started from; every member of a gang is given the same. */
  checkpoint: string | null;
  /** When the worker confirmed it; a look sent later must show it. */
  confirmedAtMs: number | null;
  /** A look has shown it on this life of the worker; answers to orders do not say which life acted. */
  shown: boolean;
  /** The look that listed it last. */
  shownByLook: number | null;
  percent: number;
  percentSinceMs: number;
  load: number | null;
  pacePercent: number;
  stopSentAtMs: number | null;
  /** When the worker confirmed the stop; it won't start this run any more. */
  stopConfirmedAtMs: number | null;
  /** When the first look was answered that does not show it although it should. */
  missingSinceMs: number | null;
}

/** One item of a step. */
export interface Item {
  readonly key: ItemKey;
  readonly submission: Submission;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  readonly spec: StepSpec;
  phase: ItemPhase;
  /** Runs that have failed; ends may be seen again, or in another order. */
  readonly failedRuns: Set<number>;
  lastRun: number;
  run: Run | null;
  checkpoint: string | null;
  /** Worker of the last failed run; another one is tried first. */
  avoid: WorkerId | null;
  /** The worker that keeps room for it. */
  place: WorkerId | null;
  /** It was known before this owner took over, and may run where nobody has looked. */
  inherited: boolean;
}

/** One time that the steps of a submission run. */
export interface Occurrence {
  readonly number: number;
  /** Its objective, on this node's clock. */
  readonly dueAtMs: number;
  /** When its end is worth nothing any more. */
  readonly worthlessAtMs: number;
  readonly steps: readonly (readonly Item[])[];
  readonly doneInStep: number[];
}

export interface Submission {
  readonly handIn: HandIn;
  readonly version: StoreVersion;
  /** Handed in beyond what its team has a right to: others' work goes first. */
  readonly excess: boolean;
  /** For each step, the longest chain of estimates from its start to the end. */
  readonly chainsMs: readonly number[];
  readonly occurrences: Map<number, Occurrence>;
  /** Occurrences made so far, done or not. */
  madeOccurrences: number;
  doneOccurrences: number;
  /** What is decided, durable or not. */
  state: SubmissionState;
  /** What callers are told: durable. */
  shownState: SubmissionState;
  cancelled: boolean;
  endedWallMs: number | null;
  dirty: boolean;
  /** Items that wait for room, oldest first. */
  readonly ready: Set<Item>;
  /** How many of them each step has. */
  readonly readyInStep: number[];
  /** Where it waits for room. */
  backlog: Backlog | null;
}
