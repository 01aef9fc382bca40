import type { HostId, PoolId, TeamId } from "@heatherferry/common";
import type { Allowance } from "./allowance.js";
import type { CallArrival, Commit, Feed, Scan, StoreRow, WorkEffect } from "./events.js";
import type {
  Catalog,
  Fence,
  HandIn,
  HostListing,
  ItemKey,
  ItemPhase,
  LeasedWorker,
  OwnerRow,
  Resources,
  RunPhase,
  StepSpec,
  StoreVersion,
  SubmissionId,
  SubmissionState,
  Team,
  WaveRequest,
  WorkBounds,
  WorkerId,
  WorkerReport,
} from "./types.js";

/** A run of an item on a worker, from the order until its end is known. */
export interface Run {
  readonly item: Item;
  readonly number: number;
  readonly worker: WorkerId;
  /** What it takes of the worker's room. */
  readonly room: Resources;
  phase: RunPhase;
  orderedAtMs: number;
  /** Orders to start it that were sent; all but the last had no answer. */
  startsSent: number;
  /** Since when no order is under way although none was answered; looks sent later tell. */
  unansweredAtMs: number | null;
  /** State that it was started from; every member of a gang is given the same. */
  checkpoint: string | null;
  /** When the worker confirmed it; a look sent later must show it. */
  confirmedAtMs: number | null;
  /** A look has shown it, so it belongs to the life of the worker that was looked at. */
  shown: boolean;
  percent: number;
  percentSinceMs: number;
  load: number | null;
  pacePercent: number;
  stopSentAtMs: number | null;
  /** When the worker confirmed the stop; it won't start this run any more. */
  stopConfirmedAtMs: number | null;
  /** Since when looks do not show it although they should. */
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
}

export interface Worker {
  report: WorkerReport;
  readonly enlistedAtMs: number;
  listed: boolean;
  /** A sample of its clock: at `atMs` of ours it had passed `clockMs`. */
  clock: { readonly clockMs: number; readonly atMs: number } | null;
  /** Everything on it has ended by then, on our clock; null if no lease was asked for. */
  leaseEndsAtMs: number | null;
  /** Last end of a lease asked for, on its clock. */
  leaseUntilClockMs: number;
  /** It has seen this owner's fence, so no earlier owner can start work there. */
  fenced: boolean;
  lookSentAtMs: number | null;
  nextLookAtMs: number;
  answeredAtMs: number | null;
  /** The last look had no answer: nothing new starts there until one has. */
  unreachable: boolean;
  seenSequence: number;
  durableSequence: number;
  /** Acknowledged to the worker, which forgets these ends. */
  notedSequence: number;
  readonly runs: Map<ItemKey, Run>;
  /** Stops of runs that we do not keep, by item and run. */
  readonly strayStops: Map<string, number>;
  usedCpuMilli: number;
  usedMemoryMb: number;
  usedGpus: number;
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
  reserved: boolean;
  /** Its host was taken from under it; its entry lapses later. */
  departed: boolean;
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
  readonly waiting: Set<Submission>;
  dirty: boolean;
  /** What was handed in of late, oldest first. */
  arrivals: Arrival[];
  /** Hosts that arriving work keeps busy, averaged over a longer time. */
  steadyHosts: number;
  rateAtMs: number;
}

/** What a team has running over all pools. */
export interface TeamUse {
  cpuMilli: number;
  memoryMb: number;
  gpus: number;
}

/** A wave under way. */
export interface WaveWork {
  readonly request: WaveRequest;
  /** When an owner first saw the request, on this node's clock and by the time of day. */
  seenAtMs: number;
  seenWallMs: number;
  readonly doneHosts: Set<HostId>;
  dirty: boolean;
  /** Hosts ordered down, with the worker they had. */
  readonly outHosts: Map<
    HostId,
    { readonly worker: WorkerId | null; orderedAtMs: number; confirmed: boolean }
  >;
  completed: boolean;
}

/** All that the owner knows; made anew at each take-over. */
export interface OwnedWork {
  readonly fence: Fence;
  readonly takenAtMs: number;
  readonly takenVersion: StoreVersion;
  /** Version of the owner's row after our last write. */
  rowVersion: StoreVersion;
  /** When the last confirmed write was sent. */
  confirmedAtMs: number;
  readonly loads: Set<Scan>;
  active: boolean;
  /** It is being given back: nothing is ordered any more. */
  releasing: boolean;
  /** Workers of the owner before that were not heard yet. */
  readonly unheard: Map<WorkerId, LeasedWorker>;
  /** Items that may run on a worker that was not heard yet. */
  readonly heldItems: Map<ItemKey, WorkerId>;
  /** The owner before ended without a last word, so it may just have stopped something. */
  readonly stopsUnknown: boolean;
  /** Hosts that the owner before may have ordered of late, and when this one may order them. */
  readonly inheritedOrders: ReadonlyMap<HostId, number>;
  readonly submissions: Map<SubmissionId, Submission>;
  readonly workers: Map<WorkerId, Worker>;
  readonly pools: Map<PoolId, PoolWork>;
  readonly teams: Map<TeamId, TeamUse>;
  readonly allowances: Map<TeamId, Allowance>;
  /** What teams may have running on workers that were not heard yet. */
  heldUse: ReadonlyMap<TeamId, TeamUse>;
  readonly dirty: Set<Submission>;
  /** Occurrences to come, with their times. */
  readonly scheduled: Set<Submission>;
  ledger: LedgerWrite | null;
  ledgerRetryAtMs: number;
  ledgerSentAtMs: number;
  needsRenewal: boolean;
  readonly hosts: Map<HostId, HostListing>;
  /** The listed worker that each host runs. */
  readonly workersByHost: Map<HostId, Worker>;
  readonly moves: Map<HostId, HostMove>;
  /** When each host was ordered last, or will be once the owner's row names it. */
  readonly hostOrders: Map<HostId, number>;
  /** Runs that wait for the owner's row to name them. */
  plannedStarts: Run[];
  /** Orders that wait for the owner's row to name their hosts. */
  plannedOrders: HostOrder[];
  hostListAtMs: number | null;
  hostListSentAtMs: number | null;
  /** When the newest list was asked for. */
  hostViewAtMs: number | null;
  readonly waves: Map<number, WaveWork>;
  demandLoggedAtMs: number;
  forgetAtMs: number;
  /** Hand-ins that are being removed, by the write that does it. */
  readonly forgetting: Map<string, SubmissionId>;
  /** Rows of the store that were read before all of them were there. */
  loadedRows: StoreRow[];
}

export type HostOrder = Extract<WorkEffect, { type: "power/move" | "power/upkeep" }>;

/** A host on its way to another pool. */
export interface HostMove {
  readonly to: PoolId;
  readonly from: PoolId | null;
  readonly worker: WorkerId | null;
  readonly orderedAtMs: number;
  confirmed: boolean;
}

/** The owner's write in flight. */
export interface LedgerWrite {
  readonly commit: Commit;
  readonly submissions: readonly { readonly submission: Submission; shows: SubmissionState }[];
  readonly ends: readonly { readonly worker: Worker; readonly sequence: number }[];
  readonly releases: boolean;
  readonly starts: readonly Run[];
  readonly orders: readonly HostOrder[];
}

/** A caller's call without an answer yet. */
export interface OpenCall {
  readonly arrival: CallArrival;
  readonly answerByMs: number;
  readonly id: SubmissionId | null;
  readonly handIn: HandIn | null;
  commit: Commit | null;
  /** A write of this call had no answer, so it may take effect later. */
  uncertain: boolean;
  retryAtMs: number | null;
}

export interface FeedState {
  after: StoreVersion | null;
  /** When the running request was sent. */
  sentAtMs: number | null;
  retryAtMs: number;
  /** When the newest complete view was asked for. */
  viewAtMs: number | null;
  scanning: boolean;
}

/** A write that takes ownership over. */
export interface Claim {
  readonly commitId: string;
  readonly sentAtMs: number;
  /** The owner's row that it replaces; a later view may show the claim itself. */
  readonly before: OwnerRow | null;
  /** When that row was first seen. */
  readonly beforeSinceMs: number;
}

/** The observed owner, as a node that is not it sees it. */
export interface OwnerView {
  row: OwnerRow | null;
  version: StoreVersion;
  /** When this version was first seen. */
  sinceMs: number;
  viewAtMs: number | null;
  pollSentAtMs: number | null;
  nextPollAtMs: number;
  claim: Claim | null;
  claimAtMs: number | null;
}

export interface WorkIdentity {
  readonly holder: string;
  readonly incarnation: string;
}

export interface WorkloadState {
  readonly identity: WorkIdentity;
  readonly bounds: WorkBounds;
  /** Wall clock less steady clock, as of the last turn. */
  wallOffsetMs: number | null;
  catalog: Catalog | null;
  /** Team by key, of the catalog in force. */
  readonly teamOfKey: Map<string, Team>;
  readonly feeds: Record<Feed, FeedState>;
  readonly waveRequests: Map<number, WaveRequest>;
  readonly calls: Map<string, OpenCall>;
  ownerView: OwnerView;
  owned: OwnedWork | null;
  ready: boolean;
  storeLost: boolean;
  /** When the store last answered anything but a refusal. */
  storeAnsweredAtMs: number | null;
  leavingAtMs: number | null;
  frontClosed: boolean;
  nextCommit: number;
  /** When all that goes by time was looked at last. */
  tickedAtMs: number;
  wakeAtMs: number | null;
}

const newFeed = (): FeedState => ({
  after: null,
  sentAtMs: null,
  retryAtMs: 0,
  viewAtMs: null,
  scanning: false,
});

/**
 * @param identity - Who the node is.
 * @param bounds - The installation's bounds.
 * @returns The state of a node that knows nothing yet.
 */
export const initialWork = (identity: WorkIdentity, bounds: WorkBounds): WorkloadState => ({
  identity,
  bounds,
  wallOffsetMs: null,
  catalog: null,
  teamOfKey: new Map(),
  feeds: { operators: newFeed(), workers: newFeed(), handIns: newFeed() },
  waveRequests: new Map(),
  calls: new Map(),
  ownerView: {
    row: null,
    version: 0 as StoreVersion,
    sinceMs: 0,
    viewAtMs: null,
    pollSentAtMs: null,
    nextPollAtMs: 0,
    claim: null,
    claimAtMs: null,
  },
  owned: null,
  ready: false,
  storeLost: false,
  storeAnsweredAtMs: null,
  leavingAtMs: null,
  frontClosed: false,
  nextCommit: 1,
  tickedAtMs: -Infinity,
  wakeAtMs: null,
});
