import type {
  Address,
  AvailabilityZoneId,
  EntryHostId,
  Incarnation,
  LogClass,
  ValueOf,
} from "@heatherferry/common";
import type { NODE_ROLE } from "./constants.js";

export type NodeRole = ValueOf<typeof NODE_ROLE>;

/** Who this process is; fixed for its life. */
export interface NodeIdentity {
  readonly role: NodeRole;
  readonly entryHostId: EntryHostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly incarnation: Incarnation;
  /** Where callers reach this process. */
  readonly callerAddress: Address;
  /** Where other entry hosts reach this process. */
  readonly peerAddress: Address;
}

/** Whether the process takes new work. */
export interface NodeState {
  identity: NodeIdentity;
  /** Set once a graceful shutdown began. */
  leavingSinceMs: number | null;
  /** Set when another incarnation of this entry host was seen: this one must stop. */
  supersededBy: Incarnation | null;
}

export type NodeEvent =
  /** Time passed; sent several times a second. */
  | {
      readonly type: "clock/ticked";
      readonly atMs: number;
      /** Time of day, where the node needs it: to find that the machine was suspended. */
      readonly wallMs?: number;
      /** How late the turn is handled, where it was due at a certain time. */
      readonly lateMs?: number;
    }
  | { readonly type: "node/shutdownRequested"; readonly atMs: number }
  /** An event could not be handled, so what it left of the state may be half changed. */
  | {
      readonly type: "node/eventFailed";
      readonly atMs: number;
      readonly wallMs?: number;
      readonly failedType: string;
    };

export type NodeEffect =
  /** Nothing is in flight any more: the process may exit. */
  | { readonly type: "node/exit" }
  | {
      readonly type: "log/write";
      readonly level: "debug" | "info" | "warn" | "error";
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean | null>>;
      /** What becomes of the line when there are more than may be written. */
      readonly lineClass: LogClass;
    };
