import type { Address, PoolId, TeamId, ValueOf } from "@heatherferry/common";
import type { RESERVATION } from "../constants.js";
import type { ItemKey, Resources, WorkerId, WorkerReport } from "../types.js";
import type { Item, Run } from "../submissions/itemState.js";
import type { CapacityIndex } from "../placement/capacityIndex.js";
import type { Backlog } from "../placement/backlog.js";

/** Identifies one incarnation of a worker. */
export interface WorkerIncarnation {
  readonly id: WorkerId;
  readonly startWallMs: number | null;
}

/** Keeps a worker free for a host operation; only that operation may release it. */
export interface Reservation {
  readonly purpose: ValueOf<typeof RESERVATION>;
  /** Number of the order to move, or of the maintenance wave. */
  readonly number: number;
}

/** A run that a worker lists but that isn't booked there; the owner stops it. */
export interface OrphanedRun {
  readonly item: ItemKey;
  readonly run: number;
  /** Resources that it uses on the worker. */
  readonly resources: Resources;
  /** Team of its submission; null if unknown. */
  readonly team: TeamId | null;
  /** Resources that it counts against the team's ceiling. */
  readonly teamResources: Resources;
  /** When its lease has expired, on this node's clock, unless the worker's lease ends later. */
  readonly leaseEndsAtMs: number;
  stopSentAtMs: number | null;
  /** Order number of the last poll that listed it. */
  listedByPoll: number | null;
  /** When the first poll that doesn't list it was answered. */
  missingSinceMs: number | null;
}

/**
 * A registration under the id of a known worker that names another incarnation or another address.
 * Any writer may have stated it, so it counts once that incarnation has answered.
 */
export interface RivalRegistration {
  readonly report: WorkerReport;
  /** When it was read. */
  readonly readAtMs: number;
  /** Order number of the poll in flight to its address; null if there is none. */
  pollOrder: number | null;
  nextPollAtMs: number;
  /** Whether the known incarnation has answered a poll that was sent after it was read. */
  refuted: boolean;
}

/** A worker's incarnation as the owner knows it. */
export interface Worker {
  report: WorkerReport;
  readonly registeredAtMs: number;
  /** Whether its registration is in the store. */
  registered: boolean;
  /**
   * Whether `report` describes this incarnation. If only a poll has shown that the worker restarted,
   * `report` is the previous incarnation's with a new start time, since a poll's answer does not
   * contain the capacity.
   */
  reportCurrent: boolean;
  /** The latest registration under its id that does not describe it; null if there is none. */
  rival: RivalRegistration | null;
  /** When it is no longer slow after its start, on this node's clock. */
  coldUntilMs: number;
  /** A sample of its clock, which read `clockMs` when this node's clock read `atMs`. */
  clock: { readonly clockMs: number; readonly atMs: number } | null;
  /** When all its runs have ended, on this node's clock; null if no lease was requested. */
  leaseEndsAtMs: number | null;
  /** Latest lease end requested, on its clock. */
  leaseUntilClockMs: number;
  /** When the last order that grants a lease was sent; null if none was. */
  leaseSentAtMs: number | null;
  /**
   * When the last lease has ended that an order by the clock of an earlier incarnation may grant,
   * on this node's clock; null if there is none.
   */
  lateLeaseEndsAtMs: number | null;
  /**
   * Whether an order that grants a lease was refused or unanswered, and no poll has shown since
   * that it reached this incarnation rather than the next one.
   */
  leaseUnverified: boolean;
  /** Whether a previous owner may have sent it orders. */
  hadPreviousOwner: boolean;
  /**
   * Whether it has accepted this owner's fencing token, so that no previous owner can start work
   * there, and has listed all run ends.
   */
  fenced: boolean;
  /** Order number of the poll in flight; null if there is none or its answer would be outdated. */
  pollOrder: number | null;
  /** When the last poll was sent, answered or not. */
  lastPollAtMs: number | null;
  nextPollAtMs: number;
  answeredAtMs: number | null;
  /** Whether the last poll failed; no new work starts there until one is answered. */
  unreachable: boolean;
  /** Highest sequence number of the run ends received. */
  seenSequence: number;
  /** Highest sequence number of the run ends persisted. */
  durableSequence: number;
  /** Highest sequence number acknowledged to the worker, which discards these; 0 if uncertain. */
  acknowledgedSequence: number;
  /** How long the poll in flight, or the last one, waits for a run end. */
  pollWaitMs: number;
  /**
   * When this incarnation last answered a poll: the latest time at which it can have written the
   * answer, since the answer may have been on its way for long.
   */
  polledAtMs: number | null;
  /**
   * When the last poll that this incarnation has answered was sent: the earliest time at which it
   * can have written the answer. Null if it has answered none of this owner's.
   */
  aliveAfterMs: number | null;
  /** Number of items in its last lease row, which may list ended ones until they are stored. */
  recordedItems: number;
  /** Number of runs in the last poll answer. */
  listedRuns: number;
  /**
   * Whether the last poll acknowledged no ends, since another incarnation might have received it.
   */
  acknowledgementWithheld: boolean;
  readonly runs: Map<ItemKey, Run>;
  /** Items with reserved capacity, which counts as used. */
  readonly reservedItems: Set<Item>;
  /** Orphaned runs by item and run number. */
  readonly orphanedRuns: Map<string, OrphanedRun>;
  usedCpuMilli: number;
  usedMemoryMb: number;
  usedGpus: number;
  /** The index of its pool's free capacity while it is in it; null otherwise. */
  capacityIndex: CapacityIndex | null;
  /** Resources that runs of batch work and of long-running work use. */
  readonly batchUse: ResourceUse;
  readonly longRunningUse: ResourceUse;
  /**
   * Use by batch runs in hosts, each counted by the resource of which it uses the largest share.
   */
  batchHosts: number;
  /** Number of long-running runs, which run until their submission is cancelled. */
  longRunningRuns: number;
  /** Since when no run is booked on it. */
  idleSinceMs: number;
  /** Since when runs are booked on it. */
  busySinceMs: number;
  /** Since when no tail latency on it has been near its target. */
  latencyCalmSinceMs: number;
  /**
   * Items and submissions that have failed there since a run was done, and nowhere else, by the time
   * of the failure.
   */
  readonly suspicions: Map<string, number>;
  /** When it may get new work again after failures or a refused order. */
  suspendedUntilMs: number;
  /**
   * When its free capacity is known: before, runs that a previous owner stopped may still use some.
   */
  capacityKnownAtMs: number;
  /** The host operation, such as maintenance or a move, for which no new work starts there. */
  reservedFor: Reservation | null;
  /** Whether the platform has reclaimed its host; its registration expires later. */
  hostReclaimed: boolean;
}

/** Abandoned runs of one worker with the same reason, collected for one log line. */
export interface AbandonedRuns {
  readonly worker: WorkerId;
  readonly reason: string;
  readonly address: Address;
  readonly startWallMs: number | null;
  /** When the first of them was abandoned. */
  readonly sinceMs: number;
  /** Age of the worker's last answer at that time; null if there was none. */
  readonly answerAgeMs: number | null;
  /** Age of the last poll, answered or not, at that time; null if there was none. */
  readonly pollAgeMs: number | null;
  count: number;
  /** Item and run number of the first few. */
  readonly firstRuns: string[];
}

/** Work submitted to a pool. */
export interface Arrival {
  readonly atMs: number;
  /** Work in host milliseconds: hosts that it keeps busy times their duration in ms. */
  readonly hostMs: number;
}

/** Workers and waiting work of a pool. */
export interface PoolWork {
  readonly id: PoolId;
  readonly workers: Set<Worker>;
  /** Submissions with ready items. */
  readonly backlog: Backlog;
  readonly capacityIndex: CapacityIndex;
  /** A worker that has answered, whose capacity stands for that of a host; null if none has. */
  exemplar: Worker | null;
  /** Whether a change may allow more items to be placed. */
  dirty: boolean;
  /** Recent submissions, oldest first. */
  arrivals: Arrival[];
  /**
   * Number of hosts that arriving work keeps busy: a moving average over a longer time than the
   * surge windows, with time constant `HOST_ALLOCATION.ARRIVAL_RATE_WINDOW_MS`.
   */
  steadyHosts: number;
  /** When `steadyHosts` was last updated. */
  averagedAtMs: number;
  /** Hosts needed by long-running work that must leave its workers and fits on no others. */
  displacedHosts: number;
  /** The long-running items that `displacedHosts` counts. */
  readonly displacedItems: Set<Item>;
}

/** Resources in use, updated as runs start and end. */
export interface ResourceUse {
  cpuMilli: number;
  memoryMb: number;
  gpus: number;
}

/** Resources that a team uses in all pools. */
export type TeamUse = ResourceUse;
