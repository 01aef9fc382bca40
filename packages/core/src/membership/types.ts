import type {
  Address,
  AvailabilityZoneId,
  EntryHostId,
  HostId,
  Incarnation,
  Revision,
  RowKey,
} from "@heatherferry/common";

/** A drain that this entry host has nothing in flight for any more. */
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
  /** It left cleanly: nothing runs there, and nothing will. */
  readonly left: boolean;
  readonly drained: readonly DrainAcknowledgement[];
}

export interface Member {
  readonly row: MemberRow;
  readonly rowKey: RowKey;
  /** The last heartbeat seen, on the table's clock. */
  committedAtMs: number;
  /** When a direct message last came from it, on this node's clock. */
  heardAtMs: number;
  live: boolean;
}

export interface MembershipState {
  members: Map<EntryHostId, Member>;
  /** Live entry hosts of this zone, this one included, in order of id. */
  zonePeers: EntryHostId[];
  nextHeartbeatAtMs: number;
  heartbeatInFlight: boolean;
  /** Until then this node's heartbeat stands, on its own clock. */
  sessionUntilMs: number;
  /** The drains acknowledged in the last heartbeat, as JSON. */
  acknowledged: string;
  /** When the last work of a leaving node ended. */
  endedAtMs: number | null;
  /** The row says that this node left. */
  leftWritten: boolean;
}
