import type { Address, PoolId, TeamId, ValueOf } from "@heatherferry/common";
import type { RESERVATION } from "./constants.js";
import type { ItemKey, Resources, WorkerId, WorkerReport } from "./types.js";
import type { Item, Run } from "./itemState.js";
import type { RoomIndex } from "./roomIndex.js";
import type { Backlog } from "./backlog.js";

/** Names one life of a worker. */
export interface WorkerLife {
  readonly id: WorkerId;
  readonly bornWallMs: number | null;
}

/** Only the one that made a reservation may end it. */
export interface Reservation {
  readonly purpose: ValueOf<typeof RESERVATION>;
  /** Of the order to move, or of the wave. */
  readonly number: number;
}

/** A run on a worker that is not the owner's own there; it is being stopped. */
export interface Stray {
  readonly item: ItemKey;
  readonly run: number;
  /** What it takes of the worker's room. */
  readonly room: Resources;
  /** Whose it is, and what that team has running by it. */
  readonly team: TeamId | null;
  readonly needs: Resources;
  /** It has ended by then, on our clock, unless the worker's lease is longer. */
  readonly leaseEndsAtMs: number;
  stopSentAtMs: number | null;
  /** The look that listed it last. */
  shownByLook: number | null;
  /** When the first look was answered that does not show it. */
  missingSinceMs: number | null;
}

export interface Worker {
  report: WorkerReport;
  readonly enlistedAtMs: number;
  listed: boolean;
  /** Its entry told of this life; a look tells that there is a new one, but not of what kind. */
  kindKnown: boolean;
  /** An entry that seemed to be of an earlier life; a time of day that stepped back does that. */
  earlierReport: WorkerReport | null;
  /** A sample of its clock: at `atMs` of ours it had passed `clockMs`. */
  clock: { readonly clockMs: number; readonly atMs: number } | null;
  /** Everything on it has ended by then, on our clock; null if no lease was asked for. */
  leaseEndsAtMs: number | null;
  /** Last end of a lease asked for, on its clock. */
  leaseUntilClockMs: number;
  /**
   * Last end of a lease, on this life's clock, that an order to an earlier life may grant here if it
   * is carried out late; null if there is none.
   */
  lateLeaseUntilClockMs: number | null;
  /** It has seen this owner's fence, so no earlier owner can start work there, and told all ends. */
  fenced: boolean;
  /** Order number of the look under way; null where none is, or what it asks is out of date. */
  lookOrder: number | null;
  /** When the newest look was sent, answered or not. */
  lastLookAtMs: number | null;
  nextLookAtMs: number;
  answeredAtMs: number | null;
  /** The last look had no answer: nothing new starts there until one has. */
  unreachable: boolean;
  seenSequence: number;
  durableSequence: number;
  /** Acknowledged to the worker, which forgets these ends; 0 where that is not known. */
  notedSequence: number;
  /** When this life answered a look last. */
  lookedAtMs: number | null;
  /** Runs that the last answered look listed. */
  listedRuns: number;
  /** The last look acknowledged no end, since it was not sure to meet this life. */
  endsWithheld: boolean;
  readonly runs: Map<ItemKey, Run>;
  /** Items that it keeps room for; what they take counts as used. */
  readonly promised: Set<Item>;
  /** By item and run. */
  readonly strays: Map<string, Stray>;
  usedCpuMilli: number;
  usedMemoryMb: number;
  usedGpus: number;
  /** Where its free room is kept account of. */
  roomIndex: RoomIndex | null;
  /** What runs there take that end by themselves, and those that last. */
  readonly endingUse: UsedRoom;
  readonly lastingUse: UsedRoom;
  /** What the former take, as parts of hosts by the resource of which each takes most. */
  endingHosts: number;
  /** Runs there that last until their submission is cancelled. */
  lastingRuns: number;
  /** Since when nothing runs there. */
  idleSinceMs: number;
  /** Since when something runs there, or is about to. */
  busySinceMs: number;
  /** Since when no tail on it came near its target. */
  tailsCalmSinceMs: number;
  failuresInRow: number;
  restsUntilMs: number;
  /** Its free room is not known before, since an earlier owner stopped runs there. */
  roomKnownAtMs: number;
  /** Its host is due for upkeep or a move: nothing new starts there. */
  reservedFor: Reservation | null;
  /** Its host was taken from under it; its entry lapses later. */
  departed: boolean;
}

/** Ordered runs of one worker that were given up for one reason, gathered for one log line. */
export interface GivenUpRuns {
  readonly worker: WorkerId;
  readonly why: string;
  readonly address: Address;
  readonly bornWallMs: number | null;
  /** When the first of them was given up, and how old the worker's last answer was then. */
  readonly sinceMs: number;
  readonly answerAgeMs: number | null;
  /** Age of the newest look at the worker, answered or not. */
  readonly lookAgeMs: number | null;
  count: number;
  /** The first few, as item and run. */
  readonly first: string[];
}

/** Work handed in to a pool. */
export interface Arrival {
  readonly atMs: number;
  /** What it keeps busy until it has ended, in hosts times ms. */
  readonly hostMs: number;
}

export interface PoolWork {
  readonly id: PoolId;
  readonly workers: Set<Worker>;
  /** Submissions with ready items. */
  readonly waiting: Backlog;
  readonly room: RoomIndex;
  dirty: boolean;
  /** What was handed in of late, oldest first. */
  arrivals: Arrival[];
  /** Hosts that arriving work keeps busy, averaged over a longer time. */
  steadyHosts: number;
  rateAtMs: number;
  /** Hosts for work that lasts and has to leave its workers, and finds no room on others. */
  displacedHosts: number;
}

/** What work takes, kept as it comes and goes. */
export interface UsedRoom {
  cpuMilli: number;
  memoryMb: number;
  gpus: number;
}

/** What a team has running over all pools. */
export type TeamUse = UsedRoom;
