import type { HostId, PoolId, ValueOf } from "@heatherferry/common";
import type {
  ANSWER_KIND,
  CALL_KIND,
  COMMIT_RESULT,
  FEED,
  HOST_ORDER_RESULT,
  LIFE,
  SCAN,
  START_RESULT,
} from "./constants.js";
import type { Commit, StoreRow } from "./storeRows.js";
import type {
  EndLine,
  Fence,
  HandIn,
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
} from "./storeRows.js";

export type CallKind = ValueOf<typeof CALL_KIND>;
export type AnswerKind = ValueOf<typeof ANSWER_KIND>;
export type CommitResult = ValueOf<typeof COMMIT_RESULT>;
export type Feed = ValueOf<typeof FEED>;
export type Scan = ValueOf<typeof SCAN>;
export type StartResult = ValueOf<typeof START_RESULT>;
export type Life = ValueOf<typeof LIFE>;
export type HostOrderResult = ValueOf<typeof HOST_ORDER_RESULT>;

/** A call of a caller; `problem` says what is wrong with its body. */
export interface CallArrival {
  readonly callId: string;
  readonly kind: CallKind;
  readonly callerHost: string;
  readonly path: string;
  readonly key: string | null;
  readonly waitMs: number | null;
  readonly bodyBytes: number;
  readonly work: WorkSpec | null;
  readonly problem: string | null;
}

/** What a caller is told; the encoding is the front end's. */
export interface CallAnswer {
  readonly callId: string;
  readonly kind: AnswerKind;
  readonly state?: SubmissionState;
  readonly pending?: number;
  readonly retryAfterMs?: number;
  readonly problem?: string;
}

interface Timed {
  readonly atMs: number;
  /** Time of day; beside the steady clock it shows that the machine was suspended. */
  readonly wallMs?: number;
}

export type WorkEvent = Timed &
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
        /** The store's newest version as of the first page. */
        readonly version: StoreVersion;
        /** The store's steady clock as of the first page; null where it did not tell. */
        readonly storeMs: number | null;
      }
    | { readonly type: "store/scanFailed"; readonly scan: Scan; readonly reason: string }
    | {
        readonly type: "store/feedAnswered";
        readonly feed: Feed;
        readonly sentAtMs: number;
        readonly rows: readonly StoreRow[];
        readonly version: StoreVersion;
        /** The store's steady clock; null where it did not tell. */
        readonly storeMs: number | null;
      }
    | {
        readonly type: "store/feedFailed";
        readonly feed: Feed;
        readonly sentAtMs: number;
        /** The store dropped the changes that were asked for. */
        readonly historyLost: boolean;
        readonly reason: string;
      }
    | {
        readonly type: "store/commitSettled";
        readonly commitId: string;
        readonly result: CommitResult;
        readonly sentAtMs: number;
        readonly version: StoreVersion | null;
        /** Rows of failed conditions as they are. */
        readonly rows: readonly StoreRow[];
        readonly reason: string | null;
      }
    | {
        readonly type: "store/lookedUp";
        readonly callId: string;
        readonly handIn: { readonly handIn: HandIn; readonly version: StoreVersion } | null;
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
        readonly wrongLife: boolean;
        readonly clockMs: number | null;
      } & WorkerTarget)
    | ({
        readonly type: "worker/looked";
        readonly sentAtMs: number;
        readonly clockMs: number;
        /** Start of the life that answered; null where it does not say. */
        readonly seenBornWallMs: number | null;
        readonly running: readonly RunningLine[];
        readonly ends: readonly EndLine[];
        /** False where the worker has more ends than it lists at a time. */
        readonly endsComplete: boolean;
      } & WorkerTarget)
    | ({
        readonly type: "worker/lookFailed";
        readonly wrongLife: boolean;
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
 * Names what an order or a look was for: the life of a worker, and the ownership that sent it. Its
 * answer carries this back, since it says nothing of another life, address or ownership.
 */
export interface WorkerTarget {
  readonly worker: WorkerId;
  readonly address: string;
  /** Start of the life that is meant; null where the worker does not say. */
  readonly bornWallMs: number | null;
  readonly fence: Fence;
  /** Numbers the orders and looks of an ownership. */
  readonly order: number;
}

interface HostOrderName {
  readonly order: HostOrderId;
  readonly host: HostId;
  readonly fence: Fence;
}

/** Moves a host to another pool. */
export interface MoveOrder extends HostOrderName {
  readonly pool: PoolId;
}

/** Takes a host down for the upkeep of a wave. */
export interface UpkeepOrder extends HostOrderName {
  readonly wave: number;
}

/** An order of the owner, which must not be sent by a node that may have been replaced. */
export interface SendDeadline {
  /**
   * Ownership is sure until then, on this node's steady clock. An order that still waits for a
   * connection at that time is not sent.
   */
  readonly sendDeadlineMs: number;
}

/** Names the life of a worker that an order or a look is for, and the time to send it in. */
export type OrderTarget = WorkerTarget & SendDeadline;

export type WorkEffect =
  | ({ readonly type: "call/answer" } & CallAnswer)
  | { readonly type: "store/scan"; readonly scan: Scan }
  | {
      readonly type: "store/feed";
      readonly feed: Feed;
      readonly after: StoreVersion;
      readonly waitMs: number;
      /** Names the request: an answer to an earlier one is dropped. */
      readonly sentAtMs: number;
    }
  | ({ readonly type: "store/commit" } & Commit)
  | { readonly type: "store/lookUp"; readonly callId: string; readonly id: SubmissionId }
  | ({
      readonly type: "worker/start";
      readonly item: ItemKey;
      readonly run: number;
      readonly payload: string;
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
      readonly untilClockMs: number | null;
      readonly notedSequence: number;
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
  | ({ readonly type: "power/upkeep" } & UpkeepOrder & SendDeadline)
  | { readonly type: "node/readiness"; readonly ready: boolean }
  | { readonly type: "node/closeFront" }
  /** Turn the clock after this time, earlier than it would turn by itself. */
  | { readonly type: "clock/wake"; readonly delayMs: number };
