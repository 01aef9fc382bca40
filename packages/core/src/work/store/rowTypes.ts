import type { HostId, PoolId, QueueId, TeamId } from "@heatherferry/common";
import type { Fence, Resources, SubmissionId, SubmissionState, WorkSpec } from "../types.js";

/** A call that a node refused. */
export interface RefusedCall {
  /** Time since it was refused for the first time. */
  readonly agoMs: number;
  /** The team whose rate it exceeded; absent if the store could not be reached. */
  readonly beyondRateOf?: TeamId;
}

/** The stored row of a submission, written once, before the caller is told of its acceptance. */
export interface SubmissionRow {
  readonly id: SubmissionId;
  readonly queue: QueueId;
  readonly pool: PoolId;
  /** Null on queues that are open to callers without a key. */
  readonly team: TeamId | null;
  readonly acceptedWallMs: number;
  /**
   * Runs of an item that could fail when it was accepted; counts once the catalog has dropped its
   * queue. Earlier versions do not store it.
   */
  readonly maxAttempts?: number;
  readonly work: WorkSpec;
  /** Other submissions that the node refused before it accepted this one; absent if none. */
  readonly refusedBefore?: Readonly<Record<SubmissionId, RefusedCall>>;
}

/** The completed items of a submission: all below the first open one, and single ones above it. */
export interface ProgressWindow {
  readonly firstOpen: number;
  /** A bit for each item from the first open one on, as hexadecimal digits, lowest bit first. */
  readonly done: string;
}

/** The durable progress of a submission, which the owner stores before it is shown to callers. */
export interface Progress {
  readonly id: SubmissionId;
  readonly state: SubmissionState;
  /** Completed items: `occurrence.step` to item indexes; empty if `window` tells of them. */
  readonly done: Readonly<Record<string, readonly number[]>>;
  /** Numbers of failed runs, by item key without the submission's id. */
  readonly failures: Readonly<Record<string, readonly number[]>>;
  readonly endedWallMs: number | null;
  /** Completed items of a submission with many, by their numbers in its `ProgressLayout`. */
  readonly window?: ProgressWindow;
  /** Why no worker can ever hold its next items; absent while one can. */
  readonly obstacle?: string;
}

/** The lease row of a worker, from which the next owner learns what may run there. */
export interface LeasedWorker {
  readonly pool: PoolId;
  /**
   * Items that may run there: `submission.occurrence.step` to item indexes. An item is recorded
   * before it is started and stays recorded until its end is stored as well.
   */
  readonly items: Readonly<Record<string, readonly number[]>>;
  /** Whether runs are being stopped there, which take capacity but are not listed as running. */
  readonly stopping: boolean;
  /**
   * Start of the incarnation by whose clock the owner grants leases, null if unknown. Earlier
   * versions write no such field.
   */
  readonly startWallMs?: number | null;
  /**
   * How long after the row was written a lease may last that an order by the clock of an earlier
   * incarnation grants; 0 if there is none.
   */
  readonly lateLeaseMs?: number;
  /**
   * Longest time, on the worker's clock, that a lease lasts after the order of the owner that grants
   * it. Earlier versions write no such field: their leases may be as long as the worker accepts.
   */
  readonly leaseTermMs?: number;
}

/** Numbers of pending submissions, and the time that they hold for. */
export interface PendingCount {
  /** Submissions stored until then are counted; on the store's monotonic clock. */
  readonly asOfStoreMs: number;
  /** Accepted submissions without a started item, by queue. */
  readonly byQueue: Readonly<Record<string, number>>;
}

/** Waiting work of one priority that a team submitted beyond its rate. */
export interface TeamLine {
  readonly team: TeamId;
  readonly priority: number;
  /** Times until some of its deadlines, in ascending order. */
  readonly duesMs: readonly number[];
  /** For each of them, when a newcomer starts whose deadline is as far away or further. */
  readonly waitsMs: readonly number[];
}

/** Waits for one resource of a pool. */
export interface ResourceAdmission {
  /** When all work within the rates of its teams has started. */
  readonly withinRateMs: number;
  /** Units of the resource that the pool may have free for work beyond the rates. */
  readonly freeUnits: number;
  readonly lines: readonly TeamLine[];
}

/** Waits in a pool, for the resources that are short. */
export type PoolAdmission = Readonly<Partial<Record<keyof Resources, ResourceAdmission>>>;

/** Figures by which any node refuses what cannot be done in time, and when they were computed. */
export interface AdmissionFigures {
  /** On the store's monotonic clock. */
  readonly asOfStoreMs: number;
  /** Pools with a long line. */
  readonly pools: Readonly<Record<PoolId, PoolAdmission>>;
  /** Submissions per second of each team beyond its rate, with those that were refused. */
  readonly offeredPerS: Readonly<Record<TeamId, number>>;
}

/** Whose submissions the owner has no memory for. */
export interface HeldFigures {
  /** Teams that have more than their part; null for submissions without a team. */
  readonly teams: readonly (TeamId | null)[];
}

/** The row that identifies the owner, which renews it with every owner commit. */
export interface OwnerRow {
  readonly holder: string;
  readonly incarnation: string;
  readonly fence: Fence;
  /** Whether the owner has released ownership, so that any node may acquire it at once. */
  readonly released: boolean;
  /**
   * Hosts that were ordered to move or into maintenance so recently that another owner must not
   * order them yet. The value is the age of the order in ms when the row was written; null if the
   * order was not sent yet.
   */
  readonly orderedHosts: Readonly<Record<HostId, number | null>>;
  /** Null until the owner has loaded all submissions. */
  readonly pending: PendingCount | null;
  /** Most processor time that any owner so far had, in thousandths of a core. */
  readonly strongestMilli: number;
  /**
   * Whether progress rows may hold windows. Versions that would take them for no progress cannot
   * read this row then, so they never become the owner.
   */
  readonly storesWindows?: boolean;
  /**
   * How long the owner acts on the commit that wrote this row, in ms from when it was sent. Earlier
   * versions write no such field and act for `OWNERSHIP.CONFIRMED_MS`.
   */
  readonly termMs?: number;
  /** How often in a row underpowered owners have yielded ownership to a stronger node. */
  readonly yields?: number;
  /** Absent while no pool has a long line. Earlier versions write no such field. */
  readonly admission?: AdmissionFigures;
  /** Absent while the owner has memory for all submissions. Earlier versions write no such field. */
  readonly held?: HeldFigures;
}
