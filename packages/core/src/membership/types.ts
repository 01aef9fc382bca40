import type {
  Address,
  AvailabilityZoneId,
  EntryHostId,
  HostId,
  Incarnation,
  Revision,
  RowKey,
} from "@heatherferry/common";

/** Confirms that an entry host has no work left on a draining host, for one drain of that host. */
export interface DrainAcknowledgement {
  readonly hostId: HostId;
  readonly drainEpoch: number;
}

/** Heartbeat of an entry host. Key: `member/<zone>/<entry host>`. */
export interface MemberRow {
  readonly type: "member";
  readonly entryHostId: EntryHostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly incarnation: Incarnation;
  readonly callerAddress: Address;
  readonly peerAddress: Address;
  readonly revisionInForce: Revision;
  /** The entry host has shut down cleanly: it runs no work and will start none. */
  readonly left: boolean;
  readonly drained: readonly DrainAcknowledgement[];
}

/** An entry host, as known from its last heartbeat. */
export interface Member {
  readonly row: MemberRow;
  readonly rowKey: RowKey;
  /** Commit time of the last heartbeat read, on the table's clock. */
  committedAtMs: number;
  /** When this node last received a direct message from it, on this node's clock. */
  lastMessageAtMs: number;
  live: boolean;
}

/** State of the membership slice. */
export interface MembershipState {
  members: Map<EntryHostId, Member>;
  /** Live entry hosts of this zone in order of id, including this node if it is one. */
  zonePeers: EntryHostId[];
  nextHeartbeatAtMs: number;
  heartbeatInFlight: boolean;
  /** When this node's membership session expires, on its own clock; 0 before the first one. */
  sessionUntilMs: number;
  /** The drains acknowledged in the last heartbeat sent, as JSON. */
  acknowledgedDrainsJson: string;
  /** When the last work of a node that is shutting down ended; null before. */
  workEndedAtMs: number | null;
  /** Whether the table has committed a row that says that this node has left. */
  leftCommitted: boolean;
}
