import type {
  Address,
  EntryHostId,
  Incarnation,
  RequestId,
  RowKey,
  TeamId,
  ValueOf,
} from "@heatherferry/common";
import type { Refusal } from "../requests/types.js";
import type { WORK_STATE } from "./constants.js";

export type WorkState = ValueOf<typeof WORK_STATE>;

/** An idempotency key taken by one incarnation. Key: `claim/<team>/<key>`. */
export interface ClaimRow {
  readonly type: "claim";
  readonly team: TeamId;
  readonly idempotencyKey: string;
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
}

/** A claim on its way to the table. */
export interface ClaimRequest {
  readonly key: RowKey;
  readonly row: ClaimRow;
  readonly deadlineAtMs: number;
  /** Came from another entry host: never passed on again. */
  readonly forwarded: boolean;
}

/** Work that ran or runs here, remembered for repeats. */
export interface WorkRecord {
  readonly workKey: string;
  /** The request that runs it, or did. */
  requestId: RequestId;
  state: WorkState;
  /** This life had the work before and knows that it has not run. */
  knownNotRun: boolean;
  /** Repeats that wait for its outcome. */
  waiting: RequestId[];
  /** Null while it has no outcome. */
  forgetAtMs: number | null;
}

export interface TicketsState {
  /** Sequence of the next ticket issued here. */
  nextTicketSequence: number;
  /** Tickets of this life that were used, with the end of their validity. */
  usedSequences: Map<number, number>;
  works: Map<string, WorkRecord>;
  /** The work of requests that run it or wait for it. */
  workByRequest: Map<RequestId, string>;
  claimsWaiting: ClaimRequest[];
  claimsInFlight: ClaimRequest[];
  /** Requests that were passed on and have no outcome yet. */
  forwards: Set<RequestId>;
}

export type TicketsEvent =
  /** A caller asks for tickets for work to come. */
  | {
      readonly type: "tickets/requested";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly count: number;
    }
  /** The answer was too large to be kept for repeats. */
  | { readonly type: "answer/notKept"; readonly atMs: number; readonly keptAs: string }
  /** The entry host that alone may run it answered; the caller has that answer. */
  | { readonly type: "forward/answered"; readonly atMs: number; readonly requestId: RequestId }
  | {
      readonly type: "forward/refused";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly refusal: Refusal;
    }
  | {
      readonly type: "forward/failed";
      readonly atMs: number;
      readonly requestId: RequestId;
      /** At least one byte may have left. */
      readonly sent: boolean;
    };

export type TicketsEffect =
  | {
      readonly type: "tickets/issue";
      readonly requestId: RequestId;
      readonly firstSequence: number;
      /** 0 when none can be issued now. */
      readonly count: number;
      /** End of their validity on this node's clock. */
      readonly expiresAtMs: number;
    }
  /** Pass the request to the entry host that alone may run it. */
  | {
      readonly type: "peer/forwardRequest";
      readonly requestId: RequestId;
      readonly entryHostId: EntryHostId;
      /** The life that may run it. */
      readonly incarnation: Incarnation;
      readonly address: Address;
      readonly timeoutMs: number;
    };
