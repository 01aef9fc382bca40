import type { Backlog } from "../placement/backlog.js";
import type { SubmissionRunTimes } from "./expectedRunTimes.js";
import type { DoneItems } from "./doneItems.js";
import type { UnopenedSteps } from "./openItems.js";
import type { ProgressLayout } from "./progressLayout.js";
import type { StepItems } from "./stepItems.js";
import type {
  SubmissionRow,
  ItemKey,
  ItemPhase,
  Resources,
  RunPhase,
  StepSpec,
  StoreVersion,
  SubmissionState,
  WorkerId,
} from "../types.js";

/** A run of an item on a worker, from its planned start until its end is known. */
export interface Run {
  readonly item: Item;
  readonly number: number;
  readonly worker: WorkerId;
  /** Resources of the worker that it uses. */
  readonly resources: Resources;
  /** Fraction of the worker that it uses, by the resource with the largest fraction. */
  readonly share: number;
  phase: RunPhase;
  orderedAtMs: number;
  /** Start orders that were sent. */
  startsSent: number;
  /** Start orders whose outcome is reported; the others may still be carried out late. */
  startsAnswered: number;
  /** When the last start order was sent. */
  startSentAtMs: number | null;
  /**
   * Since when no start order is in flight and none was answered. Only polls sent after this time
   * show whether the run has started.
   */
  unansweredAtMs: number | null;
  /** Checkpoint that it started from; the same for all members of a gang. */
  checkpoint: string | null;
  /** When the worker confirmed the start; every poll sent later must list the run. */
  confirmedAtMs: number | null;
  /**
   * Whether a poll has listed it on the worker's current incarnation. Answers to orders do not say
   * which incarnation carried them out.
   */
  listed: boolean;
  /** Order number of the poll that listed it last. */
  listedByPoll: number | null;
  /** Progress, in percent. */
  percent: number;
  percentSinceMs: number;
  load: number | null;
  pacePercent: number;
  stopSentAtMs: number | null;
  /** When the worker confirmed the stop; after that it no longer starts this run. */
  stopConfirmedAtMs: number | null;
  /** When the first poll was answered that should list the run but does not. */
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
  /** Numbers of failed runs; ends may be reported repeatedly or out of order. */
  readonly failedRuns: Set<number>;
  lastRun: number;
  run: Run | null;
  checkpoint: string | null;
  /** Runs of it that were stopped because they made no progress. */
  stalls: number;
  /** Worker of the last failed or stalled run; other workers are preferred. */
  avoidWorker: WorkerId | null;
  /** The worker on which capacity is reserved for it. */
  reservedWorker: WorkerId | null;
  /** Whether a previous owner may have started it, perhaps on a worker not polled yet. */
  inherited: boolean;
}

/** One scheduled execution of the steps of a submission. */
export interface Occurrence {
  readonly number: number;
  /** When callers count it as begun, on this node's monotonic clock. */
  readonly startMs: number;
  /** Deadline, on this node's monotonic clock. */
  dueAtMs: number;
  /** When its result loses all value, on this node's monotonic clock. */
  expiresAtMs: number;
  readonly steps: readonly StepItems[];
}

export interface Submission {
  /** Without its payload once the submission has ended. */
  row: SubmissionRow;
  /** Memory that it is counted with. */
  heldBytes: number;
  readonly version: StoreVersion;
  /** Whether it exceeds its team's submission rate, so that the work of others goes first. */
  readonly overRate: boolean;
  /** When it was handed in first, also if it was refused then; on the wall clock. */
  readonly arrivedWallMs: number;
  readonly runTimes: SubmissionRunTimes;
  /** Critical path of each step: the longest sum of expected run times from its start to the end. */
  criticalPathsMs: readonly number[];
  readonly layout: ProgressLayout;
  /** Whether it was stored before this owner acquired ownership, so that items may be running. */
  readonly inherited: boolean;
  readonly done: DoneItems;
  /** Occurrences that have begun and are not done. */
  readonly occurrences: Map<number, Occurrence>;
  /** Steps that may run and whose items are not all open yet. */
  unopened: UnopenedSteps;
  /** Number of items in memory. */
  openCount: number;
  /** Items with failed runs that are not done, in the order in which they failed first. */
  readonly failing: Set<Item>;
  /** Size of their failed runs in the progress row. */
  failureBytes: number;
  /** Number of booked runs. */
  bookedRuns: number;
  /** Occurrences created so far, done or not. */
  createdOccurrences: number;
  doneOccurrences: number;
  /** State as decided by the owner, persisted or not. */
  state: SubmissionState;
  /** State as reported to callers, always persisted. */
  reportedState: SubmissionState;
  cancelled: boolean;
  endedWallMs: number | null;
  /** Whether its progress has to be persisted. */
  dirty: boolean;
  /** Items that wait for capacity, oldest first. */
  readonly ready: Set<Item>;
  /** Number of ready items in each step. */
  readonly readyByStep: number[];
  /** Why no worker can ever hold an item, by the number of the step. */
  readonly obstacles: Map<number, string>;
  /** The backlog in which it waits for capacity. */
  backlog: Backlog | null;
}
