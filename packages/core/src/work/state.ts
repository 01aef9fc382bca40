import type { HostId, PoolId, QueueId, TeamId } from "@heatherferry/common";
import { DueQueue } from "@heatherferry/coordination";
import type { OpenCall } from "./callState.js";
import type { HeldCharge, HeldItems } from "./heldItems.js";
import type { Allowance } from "./allowance.js";
import { indexCatalog, type CatalogIndex } from "./catalog.js";
import type { Effort } from "./effort.js";
import type { Commit, Feed, Scan, StoreRow } from "./events.js";
import type {
  Catalog,
  Fence,
  HostListing,
  ItemKey,
  LeasedWorker,
  OwnerRow,
  StoreVersion,
  SubmissionId,
  SubmissionState,
  WaveRequest,
  WorkBounds,
  WorkerId,
} from "./types.js";
import type { HostDrain, HostMove, HostOrder, WaveWork } from "./hostState.js";
import type { Run, Submission } from "./itemState.js";
import type { GivenUpRuns, Worker, PoolWork, TeamUse } from "./workerState.js";

export type { WaveWork, HostOrder, HostOut, HostReturn, HostDrain, HostMove } from "./hostState.js";
export type { OpenCall } from "./callState.js";
export type { Run, Item, Occurrence, Submission } from "./itemState.js";
export type {
  GivenUpRuns,
  Worker,
  WorkerLife,
  Reservation,
  Stray,
  Arrival,
  PoolWork,
  TeamUse,
} from "./workerState.js";

/** All that the owner knows; made anew at each take-over. */
export interface OwnedWork {
  readonly fence: Fence;
  readonly takenAtMs: number;
  readonly takenVersion: StoreVersion;
  /** Version of the owner's row after our last write. */
  rowVersion: StoreVersion;
  /** When the last confirmed write was sent. */
  confirmedAtMs: number;
  /** Tables that are to be read before anything is decided. */
  readonly loads: Set<Scan>;
  /** When a table is read again whose read has failed. */
  readonly loadRetries: Map<Scan, number>;
  active: boolean;
  /** It is being given back: nothing is ordered any more. */
  releasing: boolean;
  /** It is given back for a stronger node to take. */
  yielding: boolean;
  /** How often in a row weak owners gave it back before. */
  readonly yieldsBefore: number;
  /** What the store says may run on each worker. */
  readonly leases: Map<WorkerId, LeasedWorker>;
  /** Workers on which other work may run than their rows say. */
  readonly leaseChanges: Set<WorkerId>;
  /** Workers of the owner before that were not heard yet. */
  readonly unheard: Map<WorkerId, LeasedWorker>;
  /** Items that may run on a worker that was not heard yet. */
  readonly heldItems: HeldItems;
  /** The last occurrence of each submission that rows of workers name. */
  readonly begunOccurrences: Map<SubmissionId, number>;
  /** The owner before ended without a last word, so it may just have stopped something. */
  readonly stopsUnknown: boolean;
  /** Hosts that the owner before may have ordered of late, and when this one may order them. */
  readonly inheritedOrders: ReadonlyMap<HostId, number>;
  readonly submissions: Map<SubmissionId, Submission>;
  readonly workers: Map<WorkerId, Worker>;
  /** When each worker is to be visited for what goes by time. */
  readonly workerTimers: DueQueue<Worker>;
  /** Workers of which something has changed since they were visited. */
  readonly changedWorkers: Set<Worker>;
  /** Workers that are about to leave. */
  readonly leavingWorkers: Set<Worker>;
  /** Workers with ends that are not written. */
  readonly endsToWrite: Set<Worker>;
  /** Runs that are told to stop. */
  readonly stoppingRuns: Set<Run>;
  readonly pools: Map<PoolId, PoolWork>;
  readonly teams: Map<TeamId, TeamUse>;
  readonly allowances: Map<TeamId, Allowance>;
  /** What teams may have running on workers that were not heard yet. */
  readonly heldUse: Map<TeamId, TeamUse>;
  /** The part of it that each item that is held makes up. */
  readonly heldCharges: Map<ItemKey, HeldCharge>;
  /** Items that are held and count otherwise, or not at all. */
  readonly heldUncharged: Set<ItemKey>;
  /** Workers that have seen this owner's fence since what they held back was last looked at. */
  readonly newlyFenced: Set<WorkerId>;
  readonly dirty: Set<Submission>;
  /** Accepted submissions without a started item, by queue. */
  readonly queuedCounts: Map<QueueId, number>;
  /** Occurrences to come, with their times. */
  readonly scheduled: Set<Submission>;
  ledger: LedgerWrite | null;
  ledgerRetryAtMs: number;
  ledgerSentAtMs: number;
  /** When work was placed last, and when hosts were divided. */
  placedAtMs: number;
  dividedAtMs: number;
  needsRenewal: boolean;
  /** Orders to workers and looks at them so far. */
  ordersSent: number;
  readonly hosts: Map<HostId, HostListing>;
  /** Listed workers by host: the one that it runs, and entries left over of those before. */
  readonly workersByHost: Map<HostId, Set<Worker>>;
  readonly moves: Map<HostId, HostMove>;
  /** Hosts that go to another pool once their workers are empty. */
  readonly drains: Map<HostId, HostDrain>;
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
  /** Given up since the clock turned last, by worker and reason. */
  readonly givenUp: Map<string, GivenUpRuns>;
  forgetAtMs: number;
  /** Hand-ins that are being removed, by the write that does it. */
  readonly forgetting: Map<string, SubmissionId>;
  /** Submissions whose hand-ins are gone; what is known of them goes with the next write. */
  readonly forgotten: Set<SubmissionId>;
  /** Rows of the store that were read before all of them were there. */
  loadedRows: StoreRow[];
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

export interface FeedState {
  after: StoreVersion | null;
  /** When the running request was sent. */
  sentAtMs: number | null;
  retryAtMs: number;
  /** When the newest complete view was asked for. */
  viewAtMs: number | null;
  /** The same view's time on the store's steady clock. */
  viewStoreMs: number | null;
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
  /** When the newest view was asked for, and its time on the store's steady clock. */
  viewAtMs: number | null;
  viewStoreMs: number | null;
  pollSentAtMs: number | null;
  nextPollAtMs: number;
  claim: Claim | null;
  claimAtMs: number | null;
}

/** Turns of the clock that were handled late and that no line tells of yet. */
export interface LoopLag {
  /** How late turns of the clock are of late, smoothed. */
  recentMs: number;
  loggedAtMs: number;
  turns: number;
  worstMs: number;
}

export interface WorkIdentity {
  readonly holder: string;
  readonly incarnation: string;
}

export interface WorkloadState {
  readonly identity: WorkIdentity;
  bounds: WorkBounds;
  /** Processor time that the node may use, in thousandths of a core. */
  processorMilli: number;
  /** Wall clock less steady clock, as of the last turn. */
  wallOffsetMs: number | null;
  /** When the clocks were last found to have jumped apart. */
  resumedAtMs: number;
  catalog: Catalog | null;
  catalogIndex: CatalogIndex;
  readonly feeds: Record<Feed, FeedState>;
  readonly waveRequests: Map<number, WaveRequest>;
  readonly calls: Map<string, OpenCall>;
  /** Open calls by the write that they wait for. */
  readonly callOfCommit: Map<string, OpenCall>;
  /** Open calls by the time when they are answered at the latest, or their write is sent again. */
  readonly callsDue: DueQueue<OpenCall>;
  ownerView: OwnerView;
  /** It does not claim the work before. */
  claimsFromMs: number;
  owned: OwnedWork | null;
  ready: boolean;
  storeLost: boolean;
  /** When the store last answered anything but a refusal. */
  storeAnsweredAtMs: number | null;
  leavingAtMs: number | null;
  frontClosed: boolean;
  nextCommit: number;
  nextHostOrder: number;
  /** When all that goes by time was looked at last. */
  tickedAtMs: number;
  wakeAtMs: number | null;
  lag: LoopLag;
  readonly effort: Effort;
}

const newFeed = (): FeedState => ({
  after: null,
  sentAtMs: null,
  retryAtMs: 0,
  viewAtMs: null,
  viewStoreMs: null,
  scanning: false,
});

/**
 * @param identity - Who the node is.
 * @param bounds - The installation's bounds.
 * @param processorMilli - Processor time that the node may use, in thousandths of a core.
 * @returns The state of a node that knows nothing yet.
 */
export const initialWork = (
  identity: WorkIdentity,
  bounds: WorkBounds,
  processorMilli: number,
): WorkloadState => ({
  identity,
  bounds,
  processorMilli,
  wallOffsetMs: null,
  resumedAtMs: -Infinity,
  catalog: null,
  catalogIndex: indexCatalog(null),
  feeds: { operators: newFeed(), workers: newFeed(), handIns: newFeed() },
  waveRequests: new Map(),
  calls: new Map(),
  callOfCommit: new Map(),
  callsDue: new DueQueue(),
  claimsFromMs: -Infinity,
  ownerView: {
    row: null,
    version: 0 as StoreVersion,
    sinceMs: 0,
    viewAtMs: null,
    viewStoreMs: null,
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
  nextHostOrder: 1,
  tickedAtMs: -Infinity,
  wakeAtMs: null,
  lag: { recentMs: 0, loggedAtMs: -Infinity, turns: 0, worstMs: 0 },
  effort: { steps: 0 },
});
