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

/** An idempotency key claimed by one incarnation. Row key: `claim/<team>/<idempotency key>`. */
export interface ClaimRow {
  readonly type: "claim";
  readonly team: TeamId;
  readonly idempotencyKey: string;
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
}

/** A claim that waits to be written to the table, or is being written. */
export interface ClaimRequest {
  readonly key: RowKey;
  readonly row: ClaimRow;
  readonly deadlineAtMs: number;
  /** Whether another entry host forwarded the request: it is not forwarded again. */
  readonly forwarded: boolean;
}

/** Work that runs or has run on this node, recorded to answer duplicate requests. */
export interface WorkRecord {
  readonly workKey: string;
  /** The request that runs the work or has run it. */
  requestId: RequestId;
  state: WorkState;
  /** Whether this incarnation already had a record of the work saying that it has not run. */
  knownNotRun: boolean;
  /** Duplicate requests that wait for the outcome. */
  waiting: RequestId[];
  /** When the record may be discarded; null while the work has no outcome. */
  expiresAtMs: number | null;
}

export interface TicketsState {
  /** Sequence of the next ticket issued here. */
  nextTicketSequence: number;
  /** Used tickets of this incarnation by sequence number, with the end of their validity. */
  usedSequences: Map<number, number>;
  /** Work records by work key, least recently started first. */
  workRecords: Map<string, WorkRecord>;
  /** Work key of each request that runs work or waits for its outcome. */
  workByRequest: Map<RequestId, string>;
  claimsWaiting: ClaimRequest[];
  claimsInFlight: ClaimRequest[];
  /** Forwarded requests that have no outcome yet. */
  forwards: Set<RequestId>;
}

export type TicketsEvent =
  /** A caller asks for tickets for future work. */
  | {
      readonly type: "tickets/requested";
      readonly atMs: number;
      readonly requestId: RequestId;
      readonly count: number;
    }
  /** The answer was too large to be kept for duplicate requests. */
  | { readonly type: "answer/notKept"; readonly atMs: number; readonly keptAs: string }
  /** The only entry host that may run the work answered, and the answer reached the caller. */
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
      /** Whether at least one byte may have been sent. */
      readonly sent: boolean;
    };

export type TicketsEffect =
  | {
      readonly type: "tickets/issue";
      readonly requestId: RequestId;
      readonly firstSequence: number;
      /** Number of tickets; 0 if none can be issued now. */
      readonly count: number;
      /** End of their validity on this node's monotonic clock. */
      readonly expiresAtMs: number;
    }
  /** Forward the request to the only entry host that may run its work. */
  | {
      readonly type: "peer/forwardRequest";
      readonly requestId: RequestId;
      readonly entryHostId: EntryHostId;
      /** The only incarnation of the entry host that may run it. */
      readonly incarnation: Incarnation;
      readonly address: Address;
      readonly timeoutMs: number;
    };
