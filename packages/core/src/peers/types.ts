import type {
  Address,
  Brand,
  EntryHostId,
  HostId,
  Incarnation,
  PoolId,
  Revision,
  TableVersion,
  TeamId,
} from "@heatherferry/common";
import type { TableRange, TableRow } from "../platform/types.js";

/** One call of a peer that waits for an answer. */
export type PeerCallId = Brand<string, "PeerCallId">;

export const peerCallId = (value: string): PeerCallId => value as PeerCallId;

/** Slot time of a team since the last digest. */
export interface TeamUsage {
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly slotMs: number;
}

/** Requests that wait for a pool. */
export interface QueuedCount {
  readonly pool: PoolId;
  readonly count: number;
}

/** What entry hosts of a zone tell each other several times a second. */
export interface PeerDigest {
  readonly type: "digest";
  /** Where the sender takes calls of other entry hosts. */
  readonly peerAddress: Address;
  readonly revision: Revision;
  /** Age of the sender's view of the rules when it sent this; null when it has none. */
  readonly viewAgeMs: number | null;
  readonly usage: readonly TeamUsage[];
  readonly queued: readonly QueuedCount[];
  /** The entry hosts among which the sender divides slots, and keeps to the division. */
  readonly dividedAmong: readonly EntryHostId[];
}

/** Ask a zone peer for slots that it does not use. */
export interface SlotRequest {
  readonly type: "slotRequest";
  readonly pool: PoolId;
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

/** An entry host of this zone that the settings name, for a start without the platform. */
export interface PeerSeed {
  readonly entryHostId: EntryHostId;
  readonly peerAddress: Address;
}

/** What this node knows of another entry host of its zone. */
export interface Peer {
  readonly entryHostId: EntryHostId;
  /** Null until it was heard. */
  incarnation: Incarnation | null;
  peerAddress: Address;
  /** Its last digest, and when that came. */
  digest: PeerDigest | null;
  heardAtMs: number;
  /** Not asked for its view until then. */
  avoidUntilMs: number;
}

export interface PeersState {
  seeds: readonly PeerSeed[];
  /** Peers that were heard, that the settings name, or that the table names as live. */
  peers: Map<EntryHostId, Peer>;
  nextDigestAtMs: number;
  /** The last digest told nothing that peers act on. */
  lastDigestIdle: boolean;
  viewReadFrom: EntryHostId | null;
  nextViewReadAtMs: number;
  nextViewTurn: number;
  /** Views taken from peers, and reads of peers that failed. */
  viewsTaken: number;
  viewsFailed: number;
}

export type PeersEvent =
  /** The settings name entry hosts of the zone, for a start without the platform. */
  | { readonly type: "peers/seeded"; readonly atMs: number; readonly seeds: readonly PeerSeed[] }
  | {
      readonly type: "peer/received";
      readonly atMs: number;
      readonly from: EntryHostId;
      readonly incarnation: Incarnation;
      readonly message: PeerMessage;
    }
  /** A message or a read did not get through. */
  | { readonly type: "peer/unreachable"; readonly atMs: number; readonly to: EntryHostId }
  /** A peer wants to read out of this node's mirror. */
  | {
      readonly type: "peer/viewAsked";
      readonly atMs: number;
      readonly callId: PeerCallId;
      readonly ranges: readonly TableRange[];
    };

export type PeersEffect =
  | {
      readonly type: "peer/send";
      readonly to: EntryHostId;
      readonly address: Address;
      readonly message: PeerMessage;
    }
  /** Read from a peer's mirror what the table does not answer. */
  | {
      readonly type: "peer/readView";
      readonly to: EntryHostId;
      readonly address: Address;
      readonly ranges: readonly TableRange[];
    }
  | {
      readonly type: "peer/answerView";
      readonly callId: PeerCallId;
      /** Null when this node has no view to give. */
      readonly view: PeerView | null;
    };

/** A part of a node's mirror. */
export interface PeerView {
  readonly ranges: readonly TableRange[];
  readonly rows: readonly TableRow[];
  /** All commits up to here are in the rows. */
  readonly upToVersion: TableVersion;
  /** Age of the view when it was given. */
  readonly viewAgeMs: number;
}
