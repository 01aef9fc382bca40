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

/** The identity of this process; it never changes while the process runs. */
export interface NodeIdentity {
  readonly role: NodeRole;
  readonly entryHostId: EntryHostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly incarnation: Incarnation;
  /** Address on which this process accepts calls from callers. */
  readonly callerAddress: Address;
  /** Address on which this process accepts calls from other entry hosts. */
  readonly peerAddress: Address;
}

/** The identity of the process and whether it accepts new work. */
export interface NodeState {
  identity: NodeIdentity;
  /** When a graceful shutdown began; null while none has. */
  shutdownStartedAtMs: number | null;
  /** Another incarnation of this entry host, after which this one must stop; null if none. */
  supersededBy: Incarnation | null;
}

export type NodeEvent =
  /** Clock tick, sent several times a second. */
  | {
      readonly type: "clock/ticked";
      readonly atMs: number;
      /** Wall-clock time, on nodes that use it to detect that the machine was suspended. */
      readonly wallMs?: number;
      /** Delay of the tick after the time it was scheduled for; absent if it was not scheduled. */
      readonly lateMs?: number;
    }
  | { readonly type: "node/shutdownRequested"; readonly atMs: number }
  /** The reducer threw while it handled an event, so the state may be partly updated. */
  | {
      readonly type: "node/eventFailed";
      readonly atMs: number;
      readonly wallMs?: number;
      readonly failedType: string;
    };

export type NodeEffect =
  /** Nothing is in flight any longer, so the process may exit. */
  | { readonly type: "node/exit" }
  | {
      readonly type: "log/write";
      readonly level: "debug" | "info" | "warn" | "error";
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean | null>>;
      /** Decides whether the line is kept when more lines arrive than may be written. */
      readonly lineClass: LogClass;
    };
