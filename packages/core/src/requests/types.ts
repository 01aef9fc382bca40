import type {
  AttemptId,
  HostId,
  KeyHash,
  PoolId,
  QueueId,
  RequestId,
  TeamId,
  ValueOf,
} from "@heatherferry/common";
import type { PresentedTicket } from "@heatherferry/coordination";
import type { ATTEMPT_STAGE, OUTCOME, REFUSAL_KIND, REQUEST_PHASE } from "./constants.js";

export type Outcome = ValueOf<typeof OUTCOME>;
export type RefusalKind = ValueOf<typeof REFUSAL_KIND>;
export type RequestPhase = ValueOf<typeof REQUEST_PHASE>;
export type AttemptStage = ValueOf<typeof ATTEMPT_STAGE>;

/** The reply to a caller whose request got no answer from a target. */
export interface Refusal {
  readonly outcome: typeof OUTCOME.NOT_RUN | typeof OUTCOME.UNKNOWN;
  readonly kind: RefusalKind;
  /** Time until a retry may succeed; null where waiting does not help. */
  readonly retryAfterMs: number | null;
}

/** A caller's request that this entry host has admitted and that has no outcome yet. */
export interface RequestRecord {
  readonly requestId: RequestId;
  readonly queue: QueueId;
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  readonly arrivedAtMs: number;
  /** The answer must have begun by this time. */
  readonly deadlineAtMs: number;
  /** Identity of the work, the same for all duplicates; null where the caller gave none. */
  readonly workKey: string | null;
  phase: RequestPhase;
  attempts: number;
  /** Whether a target may have run it, so that it can no longer be refused as not run. */
  mayHaveRun: boolean;
  /** The current attempt; events of other attempts are late and are dropped. */
  attemptId: AttemptId | null;
  /** Targets on which an attempt has failed. */
  triedHosts: HostId[];
  /** Duplicates that wait for the same answer. */
  attached: RequestId[];
}

/** One attempt to run a request on a target; holds a slot until its connection has ended. */
export interface Attempt {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly hostId: HostId;
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly startedAtMs: number;
  /** Slot time charged to the team at the start. */
  readonly chargedMs: number;
}

export interface RequestsState {
  records: Map<RequestId, RequestRecord>;
  attempts: Map<AttemptId, Attempt>;
  /** Requests by the number of the bucket that their deadline falls into. */
  deadlines: Map<number, RequestId[]>;
  /** The first bucket that has not been checked yet. */
  nextDeadlineBucket: number;
  nextAttemptSequence: number;
  counters: {
    arrived: number;
    answered: number;
    notRun: number;
    unknown: number;
    cancelled: number;
    lateAnswersDropped: number;
    retried: number;
  };
}

export interface RequestArrived {
  readonly type: "request/arrived";
  readonly atMs: number;
  readonly requestId: RequestId;
  readonly queue: QueueId;
  /** SHA-256 hash of the request's key; null where it has none. */
  readonly keyHash: KeyHash | null;
  readonly idempotent: boolean;
  /** The caller's idempotency key; null where it gave none. */
  readonly idempotencyKey: string | null;
  /** The ticket that the caller presented; null where it gave none. */
  readonly ticket: PresentedTicket | null;
  /** Time that the caller allows until the answer begins; null for the queue's timeout. */
  readonly timeoutMs: number | null;
  /** Whether another entry host forwarded the request; it is not forwarded a second time. */
  readonly forwarded: boolean;
}

export type RequestsEvent =
  | RequestArrived
  /** The caller disconnected. */
  | { readonly type: "request/cancelled"; readonly atMs: number; readonly requestId: RequestId }
  /** The head of the target's answer has arrived; nothing has been sent to the caller yet. */
  | {
      readonly type: "attempt/answerBegan";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly statusCode: number;
      /** Whether the request's body was buffered and can be sent again. */
      readonly replayable: boolean;
    }
  | {
      readonly type: "attempt/completed";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      /** The target answered with a server error. */
      readonly failed: boolean;
    }
  | {
      readonly type: "attempt/failed";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly stage: AttemptStage;
      /** This node aborted the attempt, so it does not count as a failure of the target. */
      readonly aborted: boolean;
      /** The connection became unresponsive, as opposed to being closed. */
      readonly silent: boolean;
      /** Whether the request's body was buffered and can be sent again. */
      readonly replayable: boolean;
      readonly reason: string;
    };

export type RequestsEffect =
  /** Write the request to the target in the same iteration of the event loop. */
  | {
      readonly type: "attempt/dispatch";
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly hostId: HostId;
      readonly address: string;
      readonly silenceTimeoutMs: number;
    }
  /** Abort an attempt whose result is no longer needed. */
  | {
      readonly type: "attempt/abort";
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      /** The target was unresponsive for so long that its other connections are suspect too. */
      readonly silent: boolean;
    }
  /** Relay the answer of this attempt to the caller and to attached duplicates. */
  | {
      readonly type: "caller/relay";
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly attached: readonly RequestId[];
      /** Key under which to store the answer for later duplicates; null where it is not stored. */
      readonly keepAs: string | null;
      /** Returned in `attempt/completed`. */
      readonly failed: boolean;
    }
  | { readonly type: "caller/refuse"; readonly requestId: RequestId; readonly refusal: Refusal }
  /** Replay the answer stored under this key. */
  | { readonly type: "caller/replayKept"; readonly requestId: RequestId; readonly keptAs: string }
  /** Delete a stored answer. */
  | { readonly type: "caller/forgetKept"; readonly keptAs: string }
  /** Close the caller's connection to signal that an answer that had begun is incomplete. */
  | { readonly type: "caller/breakOff"; readonly requestId: RequestId };
