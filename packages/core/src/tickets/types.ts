import type { EntryHostId, Incarnation, RequestId, TeamId } from "@heatherferry/common";

/** An idempotency key taken by one incarnation. Key: `claim/<team>/<key>`. */
export interface ClaimRow {
  readonly type: "claim";
  readonly team: TeamId;
  readonly idempotencyKey: string;
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
}

/** Work that ran or runs here, remembered for repeats. */
export interface WorkRecord {
  /** The request that runs it; null once ended. */
  requestId: RequestId | null;
  /** What a repeat is told once it ended. */
  ended: "answerKept" | "answerNotKept" | "notRun" | "unknown" | null;
  forgetAtMs: number;
}

export interface TicketsState {
  /** Sequence of the next ticket issued here. */
  nextTicketSequence: number;
  works: Map<string, WorkRecord>;
}

export interface TicketsEvent {
  /** A caller asks for tickets for work to come. */
  readonly type: "tickets/requested";
  readonly atMs: number;
  readonly requestId: RequestId;
  readonly count: number;
}

export type TicketsEffect =
  | {
      readonly type: "tickets/issue";
      readonly requestId: RequestId;
      readonly firstSequence: number;
      readonly count: number;
      readonly expiresInMs: number;
    }
  /** Pass the request to the entry host that alone may run it. */
  | {
      readonly type: "peer/forwardRequest";
      readonly requestId: RequestId;
      readonly entryHostId: EntryHostId;
      readonly address: string;
    };
