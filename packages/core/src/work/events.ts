import type { HostId, PoolId, ValueOf } from "@heatherferry/common";
import type {
  ANSWER_KIND,
  CALL_KIND,
  COMMIT_RESULT,
  FEED,
  HOST_ORDER_RESULT,
  INCARNATION_RELATION,
  SCAN,
  START_RESULT,
  UNREAD_BODY,
} from "./constants.js";
import type { Commit, StoreRow } from "./store/storeRows.js";
import type {
  EndLine,
  Fence,
  SubmissionRow,
  HostListing,
  HostOrderId,
  ItemKey,
  Progress,
  RunningLine,
  StoreVersion,
  SubmissionId,
  SubmissionState,
  WorkBounds,
  WorkerId,
  WorkSpec,
} from "./types.js";

export type {
  WorkerLease,
  StoreRow,
  RowToWrite,
  RowName,
  CommitCondition,
  Commit,
} from "./store/storeRows.js";

export type CallKind = ValueOf<typeof CALL_KIND>;
export type AnswerKind = ValueOf<typeof ANSWER_KIND>;
export type UnreadBody = ValueOf<typeof UNREAD_BODY>;
export type CommitResult = ValueOf<typeof COMMIT_RESULT>;
export type Feed = ValueOf<typeof FEED>;
export type Scan = ValueOf<typeof SCAN>;
export type StartResult = ValueOf<typeof START_RESULT>;
export type IncarnationRelation = ValueOf<typeof INCARNATION_RELATION>;
export type HostOrderResult = ValueOf<typeof HOST_ORDER_RESULT>;

/** What a call's request line and header fields say. */
export interface CallHead {
  readonly kind: CallKind;
  readonly callerHost: string;
  readonly path: string;
  readonly key: string | null;
}

/** A call as it arrives. */
export interface CallArrival extends CallHead {
  readonly callId: string;
  readonly waitMs: number | null;
  /** Size of the body; if it is not read to its end, the announced size or what has come so far. */
  readonly bodyBytes: number;
  /** Why the body of a call was not read to its end although the call's answer depends on it. */
  readonly unread?: UnreadBody;
  /** The decoded body of a submit call; null for other calls and for an invalid body. */
  readonly work: WorkSpec | null;
  /** What is wrong with the body; null if it is valid. */
  readonly problem: string | null;
}

/** The answer to a call, which the front end encodes. */
export interface CallAnswer {
  readonly callId: string;
  readonly kind: AnswerKind;
  readonly state?: SubmissionState;
  /** Why the submission waits, if no worker can ever hold its next items. */
  readonly reason?: string;
  readonly pending?: number;
  readonly retryAfterMs?: number;
  readonly problem?: string;
}

interface Timestamped {
  readonly atMs: number;
  /** Wall-clock time; a jump against the monotonic clock shows that the machine was suspended. */
  readonly wallMs?: number;
}

export type WorkEvent = Timestamped &
  (
    | {
        /** The settings file has changed. */
        readonly type: "node/settingsTaken";
        readonly bounds: WorkBounds;
        /** Processor time that the node may use, in thousandths of a core. */
        readonly processorMilli: number;
      }
    | ({ readonly type: "call/arrived" } & CallArrival)
    | { readonly type: "call/abandoned"; readonly callId: string }
    | {
        readonly type: "store/scanned";
        readonly scan: Scan;
        readonly sentAtMs: number;
        readonly rows: readonly StoreRow[];
        /** The store's newest version when the first page was read. */
        readonly version: StoreVersion;
        /** The store's monotonic clock at the first page; null if the store did not report it. */
        readonly storeMs: number | null;
      }
    | { readonly type: "store/scanFailed"; readonly scan: Scan; readonly reason: string }
    | {
        readonly type: "store/feedAnswered";
        readonly feed: Feed;
        readonly sentAtMs: number;
        readonly rows: readonly StoreRow[];
        readonly version: StoreVersion;
        /** The store's monotonic clock; null if the store did not report it. */
        readonly storeMs: number | null;
      }
    | {
        readonly type: "store/feedFailed";
        readonly feed: Feed;
        readonly sentAtMs: number;
        /** Whether the store no longer keeps the requested changes. */
        readonly historyLost: boolean;
        readonly reason: string;
      }
    | {
        readonly type: "store/commitSettled";
        readonly commitId: string;
        readonly result: CommitResult;
        readonly sentAtMs: number;
        readonly version: StoreVersion | null;
        /** Present rows of the conditions that failed. */
        readonly rows: readonly StoreRow[];
        readonly reason: string | null;
      }
    | {
        readonly type: "store/lookedUp";
        readonly callId: string;
        readonly stored: { readonly row: SubmissionRow; readonly version: StoreVersion } | null;
        readonly cancelled: boolean;
        readonly progress: Progress | null;
      }
    | { readonly type: "store/lookUpFailed"; readonly callId: string; readonly reason: string }
    | ({
        readonly type: "worker/startAnswered";
        readonly item: ItemKey;
        readonly run: number;
        readonly result: StartResult;
        readonly reason: string | null;
        readonly clockMs: number | null;
      } & WorkerTarget)
    | ({
        readonly type: "worker/stopAnswered";
        readonly item: ItemKey;
        readonly run: number;
        readonly settled: boolean;
        readonly wrongIncarnation: boolean;
        readonly clockMs: number | null;
      } & WorkerTarget)
    | ({
        readonly type: "worker/looked";
        readonly sentAtMs: number;
        readonly clockMs: number;
        /** Start of the incarnation that answered; null if the worker does not report it. */
        readonly reportedStartWallMs: number | null;
        readonly running: readonly RunningLine[];
        readonly ends: readonly EndLine[];
        /** False if the worker has more run ends than it lists in one answer. */
        readonly endsComplete: boolean;
      } & WorkerTarget)
    | ({
        readonly type: "worker/lookFailed";
        readonly wrongIncarnation: boolean;
        readonly reason: string;
      } & WorkerTarget)
    | ({
        readonly type: "worker/paceFailed";
        readonly item: ItemKey;
        readonly run: number;
      } & WorkerTarget)
    | {
        readonly type: "power/listed";
        readonly sentAtMs: number;
        readonly hosts: readonly HostListing[];
      }
    | { readonly type: "power/listFailed"; readonly reason: string }
    | {
        readonly type: "power/orderAnswered";
        readonly order: HostOrderId;
        readonly host: HostId;
        readonly result: HostOrderResult;
        readonly reason: string | null;
      }
  );

/**
 * Identifies the worker incarnation that an order or a poll addresses, and the ownership that sent
 * it. The answer repeats it, because it holds only for that incarnation, address and ownership.
 */
export interface WorkerTarget {
  readonly worker: WorkerId;
  readonly address: string;
  /** Start of the addressed incarnation; null if the worker does not report it. */
  readonly startWallMs: number | null;
  readonly fence: Fence;
  /** Sequence number among the orders and polls of an ownership. */
  readonly order: number;
}

interface HostOrderFields {
  readonly order: HostOrderId;
  readonly host: HostId;
  readonly fence: Fence;
}

/** Moves a host to another pool. */
export interface MoveOrder extends HostOrderFields {
  readonly pool: PoolId;
}

/** Takes a host out of service for maintenance in a wave. */
export interface MaintenanceOrder extends HostOrderFields {
  readonly wave: number;
}

/** The time limit of an order: a node that may have lost the ownership must not send it. */
export interface SendDeadline {
  /**
   * Until when ownership is confirmed, on this node's monotonic clock. An order that still waits
   * for a connection at that time is not sent.
   */
  readonly sendDeadlineMs: number;
}

/** The worker incarnation that an order or a poll addresses, and the time limit for sending it. */
export type OrderTarget = WorkerTarget & SendDeadline;

export type WorkEffect =
  | ({ readonly type: "call/answer" } & CallAnswer)
  | { readonly type: "store/scan"; readonly scan: Scan }
  | {
      readonly type: "store/feed";
      readonly feed: Feed;
      readonly after: StoreVersion;
      readonly waitMs: number;
      /** Identifies the request; an answer to an earlier one is discarded. */
      readonly sentAtMs: number;
    }
  | ({ readonly type: "store/commit" } & Commit)
  | { readonly type: "store/lookUp"; readonly callId: string; readonly id: SubmissionId }
  | ({
      readonly type: "worker/start";
      readonly item: ItemKey;
      readonly run: number;
      readonly payload: string;
      /** End of the lease on the worker's clock. */
      readonly untilClockMs: number;
      readonly checkpoint: string | null;
    } & OrderTarget)
  | ({
      readonly type: "worker/stop";
      readonly item: ItemKey;
      readonly run: number;
    } & OrderTarget)
  | ({
      readonly type: "worker/look";
      /** New end of the lease on the worker's clock; null to leave the lease as it is. */
      readonly untilClockMs: number | null;
      /** Highest run-end sequence that is acknowledged to the worker. */
      readonly acknowledgedSequence: number;
      readonly waitMs: number;
    } & OrderTarget)
  | ({
      readonly type: "worker/pace";
      readonly item: ItemKey;
      readonly run: number;
      readonly percent: number;
    } & OrderTarget)
  | { readonly type: "power/list" }
  | ({ readonly type: "power/move" } & MoveOrder & SendDeadline)
  | ({ readonly type: "power/upkeep" } & MaintenanceOrder & SendDeadline)
  | { readonly type: "node/readiness"; readonly ready: boolean }
  | { readonly type: "node/closeFront" }
  /** Requests a clock tick after this delay, ahead of the regular one. */
  | { readonly type: "clock/wake"; readonly delayMs: number };
