import type { AvailabilityZoneId, HostId, PoolId, QueueId, TeamId } from "@heatherferry/common";
import type { DueQueue } from "@heatherferry/coordination";
import type { AdmissionState } from "./admission/index.js";
import type { OpenCall } from "./calls/callState.js";
import type { OwnerCommit } from "./ownership/commitState.js";
import type { WithheldCharge, WithheldItems } from "./ownership/withheldItems.js";
import type { TokenBucket } from "./placement/tokenBucket.js";
import type { CatalogIndex } from "./store/catalog.js";
import type { EvacuationRecord, Evacuations } from "./evacuation/index.js";
import type { FleetKinds } from "./placement/fleetKinds.js";
import type { RunTimeEstimates } from "./estimates/index.js";
import type { HandlingCost } from "./handlingCost.js";
import type { IdleSubmission } from "./submissions/idleSubmissions.js";
import type { Feed, Scan, StoreRow } from "./events.js";
import type {
  Catalog,
  Fence,
  HostListing,
  ItemKey,
  LeasedWorker,
  OwnerRow,
  StoreVersion,
  SubmissionId,
  WaveRequest,
  WorkBounds,
  WorkerId,
  WorkerReport,
} from "./types.js";
import type { HostDrain, HostMove, HostOrder, MaintenanceWave } from "./hosts/hostState.js";
import type { HeldSubmissions } from "./submissions/heldSubmissions.js";
import type { Run, Submission } from "./submissions/itemState.js";
import type { AbandonedRuns, Worker, PoolWork, TeamUse } from "./workers/workerState.js";

export type {
  MaintenanceWave,
  HostOrder,
  HostMaintenance,
  ExpectedReturn,
  HostDrain,
  HostMove,
} from "./hosts/hostState.js";
export type { OpenCall } from "./calls/callState.js";
export type { CommitChanges, OwnerCommit } from "./ownership/commitState.js";
export type { Run, Item, Occurrence, Submission } from "./submissions/itemState.js";
export type {
  AbandonedRuns,
  Worker,
  WorkerIncarnation,
  Reservation,
  OrphanedRun,
  Arrival,
  PoolWork,
  TeamUse,
  RivalRegistration,
} from "./workers/workerState.js";

/** The longest recent age of a confirmation when the next one arrived, as of a time. */
export interface RenewalAge {
  longestMs: number;
  atMs: number;
}

/** State of the owner; created anew each time that this node acquires ownership. */
export interface OwnedWork {
  readonly fence: Fence;
  readonly acquiredAtMs: number;
  readonly acquiredVersion: StoreVersion;
  /** Version of the owner row after this node's last commit. */
  rowVersion: StoreVersion;
  /** When the last confirmed commit was sent. */
  confirmedAtMs: number;
  /** How long the owner acts on that commit. */
  termMs: number;
  readonly renewalAge: RenewalAge;
  /** Tables that are not loaded yet; nothing is decided before all are. */
  readonly pendingLoads: Set<Scan>;
  /** When each table whose read failed is read again. */
  readonly loadRetries: Map<Scan, number>;
  /** Whether all tables are loaded, so that the owner decides. */
  active: boolean;
  /** Whether ownership is being released, so that no orders are sent any more. */
  releasing: boolean;
  /** Whether ownership is released for a node with more processor time to claim. */
  yielding: boolean;
  /** How often in a row underpowered owners yielded ownership before this one. */
  readonly previousYields: number;
  /** What may run on each worker according to its stored lease row. */
  readonly leases: Map<WorkerId, LeasedWorker>;
  /** Workers whose lease rows are outdated. */
  readonly changedLeases: Set<WorkerId>;
  /** Lease rows of previous owners for workers that have not confirmed this owner's fence. */
  readonly unfencedLeases: Map<WorkerId, LeasedWorker>;
  /** Items that are not started because they may still run on an unfenced worker. */
  readonly withheldItems: WithheldItems;
  /** Last occurrence of each submission that lease rows of previous owners list. */
  readonly startedOccurrences: Map<SubmissionId, number>;
  /** The previous owner failed before a release, so it may have sent stops that no row records. */
  readonly unrecordedStopsPossible: boolean;
  /** Hosts to which previous owners may have sent orders, and when this owner may send its own. */
  readonly inheritedOrders: ReadonlyMap<HostId, number>;
  readonly submissions: Map<SubmissionId, Submission>;
  readonly held: HeldSubmissions;
  /** What was learned of run times, by this owner and by those before. */
  readonly runTimes: RunTimeEstimates;
  readonly workers: Map<WorkerId, Worker>;
  /** Registrations in pools that the catalog does not name, which are no workers. */
  readonly setAside: Map<WorkerId, WorkerReport>;
  /** Ids of registrations that an answer of a worker has refuted, each logged once until it is gone. */
  readonly refutedRegistrations: Set<WorkerId>;
  /** Workers by the time of their next check, and those that have changed since the last one. */
  readonly workerTimers: DueQueue<Worker>;
  readonly changedWorkers: Set<Worker>;
  readonly drainingWorkers: Set<Worker>;
  /** Workers with run ends that are not persisted. */
  readonly workersWithUnpersistedEnds: Set<Worker>;
  readonly stoppingRuns: Set<Run>;
  readonly pools: Map<PoolId, PoolWork>;
  readonly teams: Map<TeamId, TeamUse>;
  readonly tokenBuckets: Map<TeamId, TokenBucket>;
  /** What teams may have running on unfenced workers. */
  readonly withheldUse: Map<TeamId, TeamUse>;
  /** The part of `withheldUse` that each withheld item accounts for. */
  readonly withheldCharges: Map<ItemKey, WithheldCharge>;
  /** Withheld items that are charged through a booked run, or not at all. */
  readonly unchargedWithheldItems: Set<ItemKey>;
  /** Workers that confirmed this owner's fencing token since withheld items were last released. */
  readonly newlyFenced: Set<WorkerId>;
  readonly dirtySubmissions: Set<Submission>;
  /** Accepted submissions without a started item, by queue. */
  readonly queuedCounts: Map<QueueId, number>;
  readonly scheduledSubmissions: Set<Submission>;
  /** Number of items in memory, and submissions that wait for others to make room for theirs. */
  openItemCount: number;
  readonly awaitingItemRoom: Set<Submission>;
  /** Submissions without a booked run; those that a check has looked at last are at the end. */
  readonly idleSubmissions: Map<Submission, IdleSubmission>;
  starvationCheckedAtMs: number;
  /** Whether progress rows may hold windows. */
  storesWindows: boolean;
  commitInFlight: OwnerCommit | null;
  /** Most rows that a commit may change; fewer than usual after the store has rejected one. */
  commitRowLimit: number;
  commitRetryAtMs: number;
  commitSentAtMs: number;
  /** When items were last placed on workers, and when hosts were last allocated to pools. */
  placedAtMs: number;
  allocatedAtMs: number;
  needsRenewal: boolean;
  /** Number of orders and polls sent to workers so far. */
  ordersSent: number;
  readonly hosts: Map<HostId, HostListing>;
  readonly fleet: FleetKinds;
  /** Registered workers by host: the one that it runs, and stale registrations of earlier ones. */
  readonly workersByHost: Map<HostId, Set<Worker>>;
  readonly moves: Map<HostId, HostMove>;
  /** Hosts that move to another pool once their workers are empty. */
  readonly drains: Map<HostId, HostDrain>;
  /** When the last order for each host was planned or sent. */
  readonly hostOrders: Map<HostId, number>;
  /** Runs whose start orders wait until their lease rows are committed. */
  plannedStarts: Run[];
  /** Planned runs that lease rows record, whose workers are polled before they get the order. */
  readonly startsAwaitingClock: Set<Run>;
  /** Host orders that wait until the owner row lists their hosts. */
  plannedHostOrders: HostOrder[];
  hostListReceivedAtMs: number | null;
  hostListPollSentAtMs: number | null;
  /** When the newest host list that arrived was requested. */
  hostListRequestedAtMs: number | null;
  readonly waves: Map<number, MaintenanceWave>;
  readonly evacuationRecords: Map<AvailabilityZoneId, EvacuationRecord>;
  evacuationsReportedAtMs: number;
  /** Hosts that previous owners ordered to maintenance and that are still in it. */
  readonly inheritedMaintenance: Set<HostId>;
  demandLoggedAtMs: number;
  /** Runs abandoned since the last periodic tick, by worker and reason. */
  readonly abandonedRuns: Map<string, AbandonedRuns>;
  nextPurgeAtMs: number;
  /** Submissions whose rows are being deleted, by the id of the commit that does so. */
  readonly purgeCommits: Map<string, SubmissionId>;
  /** Cancels of submissions that are not stored, by the time when this owner first saw them. */
  readonly unmatchedCancels: Map<SubmissionId, number>;
  /** Submissions whose rows are deleted; the next owner commit deletes their progress rows. */
  readonly purgedSubmissions: Set<SubmissionId>;
  /** Rows that are collected until all tables are loaded. */
  loadedRows: StoreRow[];
}

export interface FeedState {
  after: StoreVersion | null;
  /** When the request in flight was sent. */
  sentAtMs: number | null;
  retryAtMs: number;
  /** When the newest complete view was requested, and its time on the store's monotonic clock. */
  viewAtMs: number | null;
  viewStoreMs: number | null;
  scanning: boolean;
}

/** A commit by which this node claims ownership. */
export interface Claim {
  readonly commitId: string;
  readonly sentAtMs: number;
  /** The owner row that it replaces; a later view may already show the claim itself. */
  readonly previousRow: OwnerRow | null;
  /** When that row was first seen at its version. */
  readonly previousRowSinceMs: number;
}

/** The owner as a node that is not the owner observes it. */
export interface OwnerView {
  row: OwnerRow | null;
  version: StoreVersion;
  /** When this version was first seen. */
  unchangedSinceMs: number;
  /** When the newest view was requested, and its time on the store's monotonic clock. */
  viewAtMs: number | null;
  viewStoreMs: number | null;
  pollSentAtMs: number | null;
  nextPollAtMs: number;
  claim: Claim | null;
  /** When this node claims ownership, if it is still free then. */
  claimAtMs: number | null;
}

/** Exponentially smoothed lag of clock ticks, and the late ticks that are not logged yet. */
export interface LoopLag {
  smoothedMs: number;
  loggedAtMs: number;
  lateTicks: number;
  worstMs: number;
}

/** How the owner row names a node. */
export interface WorkIdentity {
  /** Name that the node keeps over restarts. */
  readonly holder: string;
  readonly incarnation: string;
}

export interface WorkloadState {
  readonly identity: WorkIdentity;
  bounds: WorkBounds;
  /** Processor time that the node may use, in thousandths of a core. */
  processorMilli: number;
  /** Wall clock minus monotonic clock, as of the last event that carried both. */
  wallOffsetMs: number | null;
  /** When a jump between the two clocks was last detected. */
  clockJumpedAtMs: number;
  catalog: Catalog | null;
  catalogIndex: CatalogIndex;
  readonly feeds: Record<Feed, FeedState>;
  readonly waveRequests: Map<number, WaveRequest>;
  readonly evacuations: Evacuations;
  /** Memory that submissions may take on this node while it is the owner. */
  heldBudgetBytes: number;
  readonly calls: Map<string, OpenCall>;
  /** Open calls by the id of the commit that they wait for. */
  readonly callOfCommit: Map<string, OpenCall>;
  /** Open calls by the time of their deadline or of the retry of their commit. */
  readonly callsDue: DueQueue<OpenCall>;
  ownerView: OwnerView;
  claimsAllowedFromMs: number;
  owned: OwnedWork | null;
  ready: boolean;
  storeLost: boolean;
  /** When the store last gave an answer other than a refusal. */
  storeAnsweredAtMs: number | null;
  shutdownRequestedAtMs: number | null;
  frontEndClosed: boolean;
  nextCommit: number;
  nextHostOrder: number;
  /** When periodic work last ran. */
  tickedAtMs: number;
  wakeAtMs: number | null;
  lag: LoopLag;
  readonly handlingCost: HandlingCost;
  readonly admission: AdmissionState;
}
