import type { EntryHostId, HostId, Incarnation, Revision, TeamId } from "@heatherferry/common";

/** What entry hosts tell each other several times a second. */
export interface PeerDigest {
  readonly type: "digest";
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
  readonly revision: Revision;
  /** Slot time used by each team per pool since the last digest. */
  readonly usage: readonly {
    readonly pool: string;
    readonly team: TeamId;
    readonly slotMs: number;
  }[];
  readonly queued: readonly { readonly pool: string; readonly count: number }[];
}

/** Ask a zone peer for slots that it does not use. */
export interface SlotRequest {
  readonly type: "slotRequest";
  readonly pool: string;
  readonly count: number;
}

/** Slots lent until a time counted from the receipt, less the time under way. */
export interface SlotLoan {
  readonly type: "slotLoan";
  readonly loanId: string;
  readonly hostId: HostId;
  readonly count: number;
  readonly termMs: number;
}

export interface SlotReturn {
  readonly type: "slotReturn";
  readonly loanId: string;
  readonly hostId: HostId;
  readonly count: number;
}

export type PeerMessage = PeerDigest | SlotRequest | SlotLoan | SlotReturn;

export interface PeersState {
  nextDigestAtMs: number;
  lastDigests: Map<EntryHostId, PeerDigest>;
}

export type PeersEvent =
  | {
      readonly type: "peer/received";
      readonly atMs: number;
      readonly from: EntryHostId;
      readonly message: PeerMessage;
    }
  | { readonly type: "peer/unreachable"; readonly atMs: number; readonly to: EntryHostId };

export type PeersEffect =
  | {
      readonly type: "peer/send";
      readonly to: EntryHostId;
      readonly address: string;
      readonly message: PeerMessage;
    }
  /** Read from a peer's mirror what the table does not answer. */
  | {
      readonly type: "peer/readView";
      readonly to: EntryHostId;
      readonly address: string;
      readonly ranges: readonly { readonly prefix: string; readonly afterVersion: number }[];
    };
