import type {
  Address,
  AvailabilityZoneId,
  Brand,
  HostId,
  PoolId,
  QueueId,
  RackId,
  TeamId,
  ValueOf,
} from "@heatherferry/common";
import type { END_KIND, ITEM_PHASE, RUN_PHASE, SUBMISSION_STATE } from "./constants.js";

export type SubmissionId = Brand<string, "SubmissionId">;
/** Names one item of work for good: submission, occurrence, step and index. */
export type ItemKey = Brand<string, "ItemKey">;
/** One life of a worker as the platform lists it. */
export type WorkerId = Brand<string, "WorkerId">;
/** Rises with each owner; workers obey the highest they have seen. */
export type Fence = Brand<number, "Fence">;
/** Names one order to a host among all that this process has sent. */
export type HostOrderId = Brand<number, "HostOrderId">;
/** Version of a row of the store; one counter for all rows. */
export type StoreVersion = Brand<number, "StoreVersion">;

export const submissionId = (value: string): SubmissionId => value as SubmissionId;
export const itemKeyOf = (
  submission: SubmissionId,
  occurrence: number,
  step: number,
  index: number,
): ItemKey => `${submission}.${occurrence}.${step}.${index}` as ItemKey;

/** @returns What names the step of an item, in one occurrence of its submission. */
export const stepNameOf = (key: ItemKey): string => key.slice(0, key.lastIndexOf("."));

/** @returns The number of an item in its step; NaN where a worker lists no key of ours. */
export const itemIndexOf = (key: ItemKey): number => Number(key.slice(key.lastIndexOf(".") + 1));

export const workerId = (value: string): WorkerId => value as WorkerId;
export const fence = (value: number): Fence => value as Fence;
export const storeVersion = (value: number): StoreVersion => value as StoreVersion;

export type SubmissionState = ValueOf<typeof SUBMISSION_STATE>;
export type ItemPhase = ValueOf<typeof ITEM_PHASE>;
export type RunPhase = ValueOf<typeof RUN_PHASE>;
export type EndKind = ValueOf<typeof END_KIND>;

/** Room on a worker, or what work takes of it. */
export interface Resources {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** Equal items of work that run side by side. */
export interface StepSpec {
  readonly count: number;
  readonly needs: Resources;
  readonly estimateMs: number;
  /** Steps, by number, that must be done first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  readonly gang: boolean;
  readonly rackLocal: boolean;
  readonly requiredLabel: string | null;
  /** Where its data is. */
  readonly preferredRack: RackId | null;
  /** Most items of the step on one worker; null for no bound. */
  readonly maxPerWorker: number | null;
  readonly speculative: boolean;
  /** Runs until the submission is cancelled and is started again however it ends. */
  readonly lasting: boolean;
  readonly image: string | null;
  /** Bound on the tail of its own users' response times; null where it serves nobody. */
  readonly tailTargetMs: number | null;
  /** Takes processor time that others leave over; only its memory counts. */
  readonly filler: boolean;
  /** Items that may be away at once by our doing; null for no bound. */
  readonly maxUnavailable: number | null;
}

/** What a caller hands in. */
export interface WorkSpec {
  /** Opaque to us; workers get it as it came. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Times that the steps run; 0 for once, now. */
  readonly occurrences: number;
  readonly firstDueWallMs: number;
  readonly intervalMs: number;
}

/** A row of a hand-in: written once, before the caller hears that it was accepted. */
export interface HandIn {
  readonly id: SubmissionId;
  readonly queue: QueueId;
  readonly pool: PoolId;
  /** Null on queues open to all. */
  readonly team: TeamId | null;
  readonly acceptedWallMs: number;
  readonly work: WorkSpec;
}

/** What is known for good of a submission; written by the owner before anybody hears it. */
export interface Progress {
  readonly id: SubmissionId;
  readonly state: SubmissionState;
  /** Done items, `occurrence.step` to item numbers. */
  readonly done: Readonly<Record<string, readonly number[]>>;
  /** Runs that have failed, by item key without the submission's id. */
  readonly failures: Readonly<Record<string, readonly number[]>>;
  readonly endedWallMs: number | null;
}

/** What an owner's successor has to know of a worker under a lease. */
export interface LeasedWorker {
  readonly pool: PoolId;
  /**
   * All that may run there, `submission.occurrence.step` to item numbers. An item is started only
   * after a row that names it was written, and named until its end is written too.
   */
  readonly items: Readonly<Record<string, readonly number[]>>;
  /** Runs are being stopped there, which takes room but is not listed as running. */
  readonly stopping: boolean;
}

/** How many submissions wait, and what the number goes by. */
export interface PendingCount {
  /** Hand-ins stored until then are counted; on the store's steady clock. */
  readonly asOfStoreMs: number;
  /** Accepted submissions without a started item, by queue. */
  readonly byQueue: Readonly<Record<string, number>>;
}

/** The owner's row; the owner renews it with every write. */
export interface OwnerRow {
  readonly holder: string;
  readonly incarnation: string;
  readonly fence: Fence;
  /** True once the owner gave it back: anybody may take it at once. */
  readonly released: boolean;
  /**
   * Hosts ordered to move or to upkeep within the time in which holders must not take turns, with
   * the age of the order in ms when the row was written; null where it was yet to be sent.
   */
  readonly orderedHosts: Readonly<Record<HostId, number | null>>;
  /** Null while the owner has not counted. */
  readonly pending: PendingCount | null;
  /** The most processor time that an owner had so far, in thousandths of a core. */
  readonly strongestMilli: number;
  /** How often in a row weak owners have given the work back for a stronger node to take. */
  readonly yields?: number;
}

export interface Queue {
  readonly id: QueueId;
  readonly callerHost: string;
  readonly pathPrefix: string;
  readonly pool: PoolId;
  /** 0 goes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly stretchFactor: number;
  readonly targetDurationMs: number;
  readonly openToAll: boolean;
}

export interface Pool {
  readonly id: PoolId;
  /** Its hosts are off until they move to another pool. */
  readonly standby: boolean;
}

export interface Team {
  readonly id: TeamId;
  readonly keys: readonly string[];
  readonly weight: number;
  /** 0 in a field means no bound. */
  readonly ceiling: Resources;
}

/** The operators' configuration, in force as a whole. */
export interface Catalog {
  readonly revision: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  readonly teams: readonly Team[];
  readonly maxBodyBytes: number;
}

/** What a worker says of itself. */
export interface WorkerReport {
  readonly id: WorkerId;
  readonly host: HostId | null;
  readonly pool: PoolId;
  readonly address: Address;
  readonly availabilityZone: AvailabilityZoneId;
  readonly rack: RackId;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly draining: boolean;
  /** Shortest time until a draining worker leaves; null where it does not say. */
  readonly drainRemainingMs: number | null;
  readonly clockMs: number | null;
  /** Start of this life; a worker may start again under its id. */
  readonly bornWallMs: number | null;
}

/** One line of what runs on a worker. */
export interface RunningLine {
  readonly item: ItemKey;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** Tail of response times for work with users, processor milli-cores for other work. */
  readonly load: number | null;
}

/** One end of a run, numbered by the worker from 1 in each of its lives. */
export interface EndLine {
  readonly sequence: number;
  readonly item: ItemKey;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** A host as the platform's machine interface lists it. */
export interface HostListing {
  readonly host: HostId;
  readonly pool: PoolId;
  readonly up: boolean;
  /** Down for the upkeep of a wave. */
  readonly inUpkeep: boolean;
  readonly worker: WorkerId | null;
}

/** Upkeep of hosts that the operators asked for. */
export interface WaveRequest {
  readonly wave: number;
  readonly hosts: readonly HostId[];
  readonly durationMs: number;
  /** Most hosts of the wave out at once. */
  readonly mostOut: number;
}

/** Bounds that the users set for an installation. */
export interface WorkBounds {
  readonly revokeMs: number;
  readonly configApplyMs: number;
  readonly holdMaxMs: number;
  readonly stopMs: number;
  readonly gangMs: number;
  readonly graceMs: number;
  readonly drainMs: number;
  readonly statusKeptMs: number;
  /** Time until an accepted submission has to be among those shown. */
  readonly visibleMs: number;
  /** Holders of host orders must not take turns within this time. */
  readonly dutyLeaseMs: number;
  readonly noticeMs: number;
  readonly impactMs: number;
  readonly moveMs: number;
  readonly upkeepMs: number;
}
