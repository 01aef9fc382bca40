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

/** Identifies a call of a peer that is waiting for an answer. */
export type PeerCallId = Brand<string, "PeerCallId">;

export const peerCallId = (value: string): PeerCallId => value as PeerCallId;

/** Slot time used by a team since the last digest. */
export interface TeamUsage {
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly slotMs: number;
}

/** Number of requests queued for a pool. */
export interface QueuedCount {
  readonly pool: PoolId;
  readonly count: number;
}

/** The status that the entry hosts of a zone send each other at short intervals. */
export interface PeerDigest {
  readonly type: "digest";
  /** Address on which the sender accepts calls from other entry hosts. */
  readonly peerAddress: Address;
  readonly revision: Revision;
  /** Age of the sender's view of the rules at the time of sending; null if it has none. */
  readonly viewAgeMs: number | null;
  readonly usage: readonly TeamUsage[];
  readonly queued: readonly QueuedCount[];
  /** The entry hosts among which the sender divides slots; it stays within its own share. */
  readonly dividedAmong: readonly EntryHostId[];
}

/** Asks a peer of the zone for slots that it does not use. */
export interface SlotRequest {
  readonly type: "slotRequest";
  readonly pool: PoolId;
  readonly count: number;
}

/** A loan of slots whose term runs from the receipt, less the time the message took. */
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

/** An entry host of this zone from the settings, so that a node can start without the platform. */
export interface PeerSeed {
  readonly entryHostId: EntryHostId;
  readonly peerAddress: Address;
}

/** What this node knows about another entry host of its zone. */
export interface Peer {
  readonly entryHostId: EntryHostId;
  /** Null until a digest has been received from it. */
  incarnation: Incarnation | null;
  peerAddress: Address;
  /** The last digest received from it; null if none. */
  digest: PeerDigest | null;
  /** When that digest was received; -Infinity if none. */
  digestReceivedAtMs: number;
  /** The peer is not asked for its view before this time, since it was unreachable. */
  backoffUntilMs: number;
}

export interface PeersState {
  seeds: readonly PeerSeed[];
  /** Peers that have sent a digest, or are listed in the settings or as live in the table. */
  peers: Map<EntryHostId, Peer>;
  nextDigestAtMs: number;
  /** Whether the last digest reported neither usage nor queued requests. */
  lastDigestIdle: boolean;
  /** The peer whose view is being read; null while no read is in progress. */
  viewReadFrom: EntryHostId | null;
  nextViewReadAtMs: number;
  /** Counts view reads, to ask equally fresh peers in rotation. */
  nextViewPeerIndex: number;
  /** Number of views received from peers. */
  viewsReceived: number;
  /** Number of view reads that failed. */
  viewsFailed: number;
}

export type PeersEvent =
  /** The settings list entry hosts of the zone, so that a node can start without the platform. */
  | { readonly type: "peers/seeded"; readonly atMs: number; readonly seeds: readonly PeerSeed[] }
  | {
      readonly type: "peer/received";
      readonly atMs: number;
      readonly from: EntryHostId;
      readonly incarnation: Incarnation;
      readonly message: PeerMessage;
    }
  /** A message to the peer or a read from it failed. */
  | { readonly type: "peer/unreachable"; readonly atMs: number; readonly to: EntryHostId }
  /** A peer asks for a part of this node's mirror. */
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
  /** Read from a peer's mirror in place of the table. */
  | {
      readonly type: "peer/readView";
      readonly to: EntryHostId;
      readonly address: Address;
      readonly ranges: readonly TableRange[];
    }
  | {
      readonly type: "peer/answerView";
      readonly callId: PeerCallId;
      /** Null if this node mirrors none of the ranges. */
      readonly view: PeerView | null;
    };

/** A part of a node's mirror. */
export interface PeerView {
  readonly ranges: readonly TableRange[];
  readonly rows: readonly TableRow[];
  /** The rows include all commits up to this version. */
  readonly upToVersion: TableVersion;
  /** Age of the view when it was sent. */
  readonly viewAgeMs: number;
}
