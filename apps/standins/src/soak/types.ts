import type { ValueOf } from "@heatherferry/common";
import type { RandomGenerator } from "pure-rand";
import type { RunEnd, WireResources, WorkerIdentity, WorkText } from "../work/workerTypes.js";
import type { FAULT, FINDING, SOAK_PHASE } from "./constants.js";

export type FaultKind = ValueOf<typeof FAULT>;
export type FindingKind = ValueOf<typeof FINDING>;
export type SoakPhase = ValueOf<typeof SOAK_PHASE>;

/** A quantity that is drawn anew each time: its mean, its relative spread and its maximum. */
export interface Spread {
  readonly mean: number;
  readonly spread: number;
  readonly max: number;
}

export interface PoolPlan {
  readonly name: string;
  readonly hosts: number;
  readonly hostsPerRack: number;
  readonly capacity: WireResources;
  readonly standby: boolean;
}

export interface TeamPlan {
  readonly name: string;
  /** Relative share of the submissions. */
  readonly share: number;
  readonly weight: number;
  /** 0 for no ceiling. */
  readonly ceilingCpuMilli: number;
}

/** A kind of submissions; each has a queue of its own. */
export interface KindPlan {
  readonly name: string;
  readonly pool: string;
  readonly perSecond: number;
  /** In which turn of the pools its rate is high; null for a steady rate. */
  readonly turn: number | null;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly stretchFactor: number;
  readonly targetDurationMs: number;
  readonly steps: Spread;
  readonly itemsPerStep: Spread;
  readonly cpuMilli: Spread;
  readonly memoryMb: Spread;
  /** Null for long-running items. */
  readonly workMs: Spread | null;
  /** Share of the runs that fail by their own fault. */
  readonly failureShare: number;
  /** Share of the submissions that can never be done: every run of one item, or of all, fails. */
  readonly hopelessShare: number;
  readonly allItemsHopeless: boolean;
  /** Share of the steps of which only one item may run on a worker. */
  readonly oneByWorkerShare: number;
  readonly cancelledShare: number;
}

/** A kind of fault, and how often it strikes during the traffic. */
export interface FaultPlan {
  readonly kind: FaultKind;
  /** Probability that a seed has it. */
  readonly chance: number;
  readonly times: number;
  /** When it strikes, from the start of the traffic; null to draw the time. */
  readonly atMs: number | null;
  readonly forMs: number;
  /** Its strength: a share, a factor or a number, by kind. */
  readonly strength: number;
}

export interface SoakPlan {
  readonly zones: readonly string[];
  readonly nodesPerZone: number;
  /** Share of a processor that a node gets, in cores; null for no limit. */
  readonly coresPerNode: number | null;
  readonly commitMs: number;
  readonly leadMs: number;
  readonly trafficMs: number;
  /** Time from the end of the traffic until submissions are asked for. */
  readonly settleMs: number;
  /** Length of a turn of the pools, and the factors on the rate in and out of a kind's turn. */
  readonly turnMs: number;
  readonly turnFactor: number;
  readonly restFactor: number;
  readonly pools: readonly PoolPlan[];
  readonly teams: readonly TeamPlan[];
  readonly kinds: readonly KindPlan[];
  readonly faults: readonly FaultPlan[];
}

/** A fault at its time. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly untilMs: number;
  readonly strength: number;
  /** From 0 to 1; chooses what the fault strikes. */
  readonly draw: number;
}

export interface StepPlan {
  readonly count: number;
  readonly needs: WireResources;
  readonly after: readonly number[];
  readonly longRunning: boolean;
  readonly maxPerWorker: number | null;
  readonly estimateMs: number;
}

/** What is handed in. */
export interface SoakWork {
  readonly text: WorkText;
  readonly steps: readonly StepPlan[];
}

/** What really happened to an item of work, as the workers saw it. */
export interface ItemRecord {
  readonly running: Set<string>;
  done: boolean;
  /** Runs that have ended as done, and whether the item was started after each. */
  readonly doneRuns: Map<string, { restarted: boolean }>;
  /** Whether an end as done was acknowledged. */
  doneAcknowledged: boolean;
  failedRuns: number;
  runs: number;
  /** When its last run ended; null before. */
  lastEndAtMs: number | null;
}

export interface SubmissionRecord {
  readonly id: string;
  readonly kind: KindPlan;
  readonly team: string;
  readonly work: SoakWork;
  /** Null until it is accepted. */
  acceptedAtMs: number | null;
  cancelAtMs: number | null;
  cancelled: boolean;
  readonly items: Map<string, ItemRecord>;
  runningCount: number;
  doneCount: number;
  /** Whether an item has failed as often as its queue allows. */
  exhausted: boolean;
  /** Since when nothing of it runs although it could; null if that is not so. */
  starvedSinceMs: number | null;
  longestStarvedMs: number;
  /** Whether there is a finding on it. */
  isReported: boolean;
}

export interface WorkerRecord {
  readonly identity: WorkerIdentity;
  /** Whether it takes work: neither down nor draining nor disturbed. */
  sound: boolean;
  readonly used: { cpu: number; memMb: number };
}

/** Something that must not be. */
export interface Finding {
  readonly kind: FindingKind;
  readonly atMs: number;
  readonly subject: string;
  readonly text: string;
}

/** State of a soak; only `reduceSoak` changes it, in place. */
export interface SoakState {
  readonly plan: SoakPlan;
  readonly random: RandomGenerator;
  readonly startedAtMs: number;
  phase: SoakPhase;
  tickedAtMs: number;
  nextId: number;
  /** Submissions due of each kind, in thousandths. */
  readonly dueThousandths: number[];
  readonly submissions: Map<string, SubmissionRecord>;
  readonly workers: Map<string, WorkerRecord>;
  readonly teamCpuMilli: Map<string, number>;
  waitingFaults: PlannedFault[];
  activeFaults: PlannedFault[];
  /** When the evacuation of each zone was requested whose request is in force. */
  readonly evacuatedSinceMs: Map<string, number>;
  readonly findings: Finding[];
  readonly unread: Set<string>;
  refused: number;
}

export type SoakEvent =
  | { readonly type: "clock/ticked"; readonly atMs: number }
  | {
      readonly type: "submission/answered";
      readonly atMs: number;
      readonly id: string;
      /** HTTP status; 0 without an answer. */
      readonly status: number;
    }
  | {
      readonly type: "submission/read";
      readonly atMs: number;
      readonly id: string;
      readonly status: number;
      readonly state: string | null;
    }
  | { readonly type: "worker/began"; readonly atMs: number; readonly identity: WorkerIdentity }
  | { readonly type: "worker/ended"; readonly atMs: number; readonly worker: string }
  | {
      readonly type: "worker/soundnessChanged";
      readonly atMs: number;
      readonly worker: string;
      readonly sound: boolean;
    }
  | {
      readonly type: "run/started";
      readonly atMs: number;
      readonly worker: string;
      readonly item: string;
    }
  | {
      readonly type: "run/ended" | "run/endAcknowledged";
      readonly atMs: number;
      readonly worker: string;
      readonly item: string;
      readonly run: number;
      readonly end: RunEnd;
    };

export type SoakEffect =
  | { readonly type: "submission/send"; readonly submission: SubmissionRecord }
  | { readonly type: "submission/cancel"; readonly submission: SubmissionRecord }
  | { readonly type: "submission/readState"; readonly submission: SubmissionRecord }
  | { readonly type: "fault/begin"; readonly fault: PlannedFault }
  | { readonly type: "fault/end"; readonly fault: PlannedFault }
  | { readonly type: "soak/finished" };

/** What a soak found. */
export interface SoakReport {
  readonly seed: number;
  readonly accepted: number;
  readonly refused: number;
  readonly completed: number;
  readonly exhausted: number;
  /** Accepted submissions of each kind that have neither ended nor been cancelled. */
  readonly open: Readonly<Record<string, number>>;
  readonly runs: number;
  /** Submissions that were starved for longer than the rule allows while the traffic went on. */
  readonly starvedInTraffic: number;
  /** Largest used share of each pool at the end. */
  readonly usedAtEnd: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  readonly findings: readonly Finding[];
}
