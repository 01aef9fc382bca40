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

export type {
  AdmissionFigures,
  LeasedWorker,
  HeldFigures,
  OwnerRow,
  PendingCount,
  PoolAdmission,
  Progress,
  ProgressWindow,
  RefusedCall,
  ResourceAdmission,
  SubmissionRow,
  TeamLine,
} from "./store/rowTypes.js";

export type SubmissionId = Brand<string, "SubmissionId">;
/** Permanent key of an item of work: submission, occurrence, step and index. */
export type ItemKey = Brand<string, "ItemKey">;
/** Id of a worker as the platform lists it. A restarted worker may keep its id. */
export type WorkerId = Brand<string, "WorkerId">;
/** Fencing token. Rises with each owner; workers obey only the highest that they have seen. */
export type Fence = Brand<number, "Fence">;
/** Number of an order to a host, unique within this process. */
export type HostOrderId = Brand<number, "HostOrderId">;
/** Version of a row of the store, from one counter for all rows. */
export type StoreVersion = Brand<number, "StoreVersion">;

export const submissionId = (value: string): SubmissionId => value as SubmissionId;
export const itemKeyOf = (
  submission: SubmissionId,
  occurrence: number,
  step: number,
  index: number,
): ItemKey => `${submission}.${occurrence}.${step}.${index}` as ItemKey;

/** Returns the part of an item key that identifies submission, occurrence and step. */
export const stepKeyOf = (key: ItemKey): string => key.slice(0, key.lastIndexOf("."));

/** Returns the index of an item in its step; NaN for a key that is not one of this system. */
export const itemIndexOf = (key: ItemKey): number => Number(key.slice(key.lastIndexOf(".") + 1));

export const workerId = (value: string): WorkerId => value as WorkerId;
export const fence = (value: number): Fence => value as Fence;
export const storeVersion = (value: number): StoreVersion => value as StoreVersion;

/** Version in a condition on a row that must not exist. */
export const NO_ROW = storeVersion(0);

export type SubmissionState = ValueOf<typeof SUBMISSION_STATE>;
export type ItemPhase = ValueOf<typeof ITEM_PHASE>;
export type RunPhase = ValueOf<typeof RUN_PHASE>;
export type EndKind = ValueOf<typeof END_KIND>;

/** Capacity of a worker, or the resources that work takes of it. */
export interface Resources {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** A step: identical items of work that run in parallel. */
export interface StepSpec {
  readonly count: number;
  readonly needs: Resources;
  readonly estimateMs: number;
  /** Numbers of the steps that must be done first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  readonly gang: boolean;
  readonly rackLocal: boolean;
  readonly requiredLabel: string | null;
  /** Rack that holds the input data. */
  readonly preferredRack: RackId | null;
  /** Maximum number of items of the step on one worker; null for no limit. */
  readonly maxPerWorker: number | null;
  readonly speculative: boolean;
  /** Long-running: runs until the submission is cancelled and is restarted whenever it ends. */
  readonly lasting: boolean;
  readonly image: string | null;
  /** Limit on the tail latency of the requests that it serves; null if it serves none. */
  readonly tailTargetMs: number | null;
  /** Uses only spare processor time, so only its memory counts against the capacity. */
  readonly filler: boolean;
  /** Maximum number of items that may be stopped at once by the scheduler; null for no limit. */
  readonly maxUnavailable: number | null;
}

/** The work that a caller submits. */
export interface WorkSpec {
  /** Opaque data, passed to the workers unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** How often the steps run; 0 for a single run that starts at once. */
  readonly occurrences: number;
  readonly firstDueWallMs: number;
  readonly intervalMs: number;
}

export interface Queue {
  readonly id: QueueId;
  readonly callerHost: string;
  readonly pathPrefix: string;
  readonly pool: PoolId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly stretchFactor: number;
  readonly targetDurationMs: number;
  readonly openToAll: boolean;
}

export interface Pool {
  readonly id: PoolId;
  /** Whether its hosts are powered off until they move to another pool. */
  readonly standby: boolean;
}

export interface Team {
  readonly id: TeamId;
  readonly keys: readonly string[];
  /** Permitted submission rate per second. */
  readonly weight: number;
  /** Most resources in use at once; 0 in a field means no limit. */
  readonly ceiling: Resources;
}

/** The operators' configuration, applied as a whole. */
export interface Catalog {
  readonly revision: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  readonly teams: readonly Team[];
  readonly maxBodyBytes: number;
}

/** The registration of a worker, as the worker reports it. */
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
  /** Shortest time until a draining worker exits; null if it is not reported. */
  readonly drainRemainingMs: number | null;
  readonly clockMs: number | null;
  /** Start of this incarnation; a restarted worker may keep its id. */
  readonly startWallMs: number | null;
  /** How much longer the worker is slow after its start; 0 if it is not. */
  readonly coldRemainingMs: number;
}

/** An entry for a run in the answer to a worker poll. */
export interface RunningLine {
  readonly item: ItemKey;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** Tail latency in ms of work that serves requests, milli-cores in use by other work. */
  readonly load: number | null;
}

/** The end of a run; each incarnation of a worker numbers its run ends from 1. */
export interface EndLine {
  readonly sequence: number;
  readonly item: ItemKey;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** A host as listed by the platform's machine interface. */
export interface HostListing {
  readonly host: HostId;
  readonly pool: PoolId;
  /** Null if the platform does not report it. */
  readonly availabilityZone: AvailabilityZoneId | null;
  readonly up: boolean;
  /** Whether the host is down for maintenance in a wave. */
  readonly inMaintenance: boolean;
  readonly worker: WorkerId | null;
  readonly labels: readonly string[];
  /** Null if the platform does not report it. */
  readonly capacity: Resources | null;
}

/** A maintenance wave that the operators requested. */
export interface WaveRequest {
  readonly wave: number;
  readonly hosts: readonly HostId[];
  readonly durationMs: number;
  /** Maximum number of hosts of the wave that may be out of service at once. */
  readonly maxHostsOut: number;
}

/** Time limits that are configured for an installation. */
export interface WorkBounds {
  /** Time within which a revoked API key has to be refused. */
  readonly revokeMs: number;
  readonly configApplyMs: number;
  /** Longest lease that a worker accepts. */
  readonly holdMaxMs: number;
  /** Time that a worker may take to stop a run. */
  readonly stopMs: number;
  readonly gangMs: number;
  /** Time from a shutdown request until the platform kills the process. */
  readonly graceMs: number;
  readonly drainMs: number;
  /** Retention time of ended submissions, during which callers may ask for their state. */
  readonly statusRetentionMs: number;
  /** Time within which an accepted submission has to be visible to callers. */
  readonly visibleMs: number;
  /** Time within which two owners must not both order the same host. */
  readonly hostOrderLeaseMs: number;
  readonly noticeMs: number;
  readonly impactMs: number;
  /** Time that a host takes to move to another pool. */
  readonly moveMs: number;
  /** Time that the maintenance of a host takes. */
  readonly maintenanceMs: number;
  /**
   * Time within which starts end in a zone whose evacuation is requested; null where operators don't
   * evacuate zones.
   */
  readonly evacuationMs: number | null;
}
