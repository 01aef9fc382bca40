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

/** A true statement to the caller in place of an answer. */
export interface Refusal {
  readonly outcome: typeof OUTCOME.NOT_RUN | typeof OUTCOME.UNKNOWN;
  readonly kind: RefusalKind;
  /** When sending it again may succeed; null where waiting does not help. */
  readonly retryAfterMs: number | null;
}

/** A caller's request while this entry host answers for it. */
export interface RequestRecord {
  readonly requestId: RequestId;
  readonly queue: QueueId;
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  readonly arrivedAtMs: number;
  /** The answer must have begun by then. */
  readonly deadlineAtMs: number;
  /** Repeats of the same work carry the same identity; null where the caller gave none. */
  readonly workKey: string | null;
  phase: RequestPhase;
  attempts: number;
  /** A target may have run it: it can no longer be refused as not run. */
  mayHaveRun: boolean;
  /** The attempt whose events count; others are late and are dropped. */
  attemptId: AttemptId | null;
  /** Targets that already failed it. */
  triedHosts: HostId[];
  /** Repeats that wait for the same answer. */
  attached: RequestId[];
}

/** One try of a request on a target; holds a slot until the connection is done with. */
export interface Attempt {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly hostId: HostId;
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly startedAtMs: number;
  /** Slot time that the team was charged at the start. */
  readonly chargedMs: number;
}

export interface RequestsState {
  records: Map<RequestId, RequestRecord>;
  attempts: Map<AttemptId, Attempt>;
  /** Requests whose deadline falls in a span of time, by the span's number. */
  deadlines: Map<number, RequestId[]>;
  /** The first span that was not looked at yet. */
  nextDeadlineSpan: number;
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
  /** SHA-256 of the key that came with it; null when none came. */
  readonly keyHash: KeyHash | null;
  readonly idempotent: boolean;
  /** The caller's own name for the work; null when none came. */
  readonly idempotencyKey: string | null;
  /** The right to run, as presented; null when none came. */
  readonly ticket: PresentedTicket | null;
  /** Time that the caller allows until the answer begins; null for the queue's own. */
  readonly timeoutMs: number | null;
  /** Set when another entry host passed the request on: it is never passed on again. */
  readonly forwarded: boolean;
}

export type RequestsEvent =
  | RequestArrived
  /** The caller hung up. */
  | { readonly type: "request/cancelled"; readonly atMs: number; readonly requestId: RequestId }
  /** The head of the target's answer is here; none of it went to the caller yet. */
  | {
      readonly type: "attempt/answerBegan";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly statusCode: number;
      /** Whether the body can be sent once more. */
      readonly replayable: boolean;
    }
  | {
      readonly type: "attempt/completed";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      /** The target answered that it failed. */
      readonly failed: boolean;
    }
  | {
      readonly type: "attempt/failed";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly stage: AttemptStage;
      /** This node stopped it; the target is not to blame. */
      readonly aborted: boolean;
      /** The connection went silent, as opposed to being closed. */
      readonly silent: boolean;
      /** Whether the body can be sent once more. */
      readonly replayable: boolean;
      readonly reason: string;
    };

export type RequestsEffect =
  /** Write the request to the target now, in this turn of the loop. */
  | {
      readonly type: "attempt/dispatch";
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly hostId: HostId;
      readonly address: string;
      readonly silenceTimeoutMs: number;
    }
  /** Stop an attempt whose result no longer counts. */
  | {
      readonly type: "attempt/abort";
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      /** The target was quiet for so long that its other open connections are not trusted either. */
      readonly silent: boolean;
    }
  /** Pass the answer of this attempt to the caller and to attached repeats. */
  | {
      readonly type: "caller/relay";
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly attached: readonly RequestId[];
      /** Whether the answer is to be kept for later repeats. */
      readonly keepAs: string | null;
      /** Handed back with `attempt/completed`. */
      readonly failed: boolean;
    }
  | { readonly type: "caller/refuse"; readonly requestId: RequestId; readonly refusal: Refusal }
  /** Answer with the answer kept under this name. */
  | { readonly type: "caller/replayKept"; readonly requestId: RequestId; readonly keptAs: string }
  /** Drop a kept answer. */
  | { readonly type: "caller/forgetKept"; readonly keptAs: string }
  /** The answer broke off after it had begun: cut the caller's connection so that it sees so. */
  | { readonly type: "caller/breakOff"; readonly requestId: RequestId };
