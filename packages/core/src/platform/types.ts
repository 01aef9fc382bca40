import type { RowKey, TableVersion, WriteId } from "@heatherferry/common";
import type { AuditRow, RulesHeadRow } from "../revisions/types.js";
import type { MemberRow } from "../membership/types.js";
import type { HostRow, MaintainerLeaseRow, PoolBudgetRow } from "../fleet/types.js";
import type { WaveRow } from "../waves/types.js";
import type { TeamEscrowRow, ZoneEscrowRow } from "../limits/types.js";
import type { ClaimRow } from "../tickets/types.js";

/** Body of a row. It is decoded and validated outside the core. */
export type RowBody =
  | RulesHeadRow
  | AuditRow
  | MemberRow
  | HostRow
  | PoolBudgetRow
  | MaintainerLeaseRow
  | WaveRow
  | TeamEscrowRow
  | ZoneEscrowRow
  | ClaimRow;

/** A row as read from the platform's table. */
export interface TableRow<Body extends RowBody = RowBody> {
  readonly key: RowKey;
  /** Commit sequence of the last write to this row. */
  readonly version: TableVersion;
  /** Time of that commit on the table's clock. */
  readonly committedAtMs: number;
  /** Ids of the last writes to this row, newest last; they settle writes whose answer was lost. */
  readonly writeIds: readonly WriteId[];
  readonly body: Body;
}

/** The rows under a key prefix that changed after a version. */
export interface TableRange {
  readonly prefix: RowKey;
  readonly afterVersion: TableVersion;
}

/** Condition that a row is still at a version; version 0 means that it must not exist. */
export interface RowCondition {
  readonly key: RowKey;
  readonly version: TableVersion;
}

/** A row to be written. */
export interface RowPut {
  readonly key: RowKey;
  readonly writeIds: readonly WriteId[];
  readonly body: RowBody;
}

/** A transaction: all puts take effect if all conditions hold, otherwise none does. */
export interface TableWrite {
  readonly writeId: WriteId;
  readonly conditions: readonly RowCondition[];
  readonly puts: readonly RowPut[];
}

/** The slice of the state that receives a write's outcome. */
export type WritePurpose = "membership" | "escrow" | "claim" | "fleet" | "wave" | "lease";

/** A write whose outcome is not yet known. */
export interface PendingWrite {
  readonly write: TableWrite;
  readonly purpose: WritePurpose;
  readonly firstSentAtMs: number;
  /** After this time the write is not resent but ends as unsettled; null for no such limit. */
  readonly giveUpAtMs: number | null;
  /** Number of times that the write was sent. */
  sends: number;
  /** When to resend it; null while the last send awaits an answer. */
  resendAtMs: number | null;
}

/** Outcome of a write, passed to the slice that requested it. */
export interface WriteOutcome {
  readonly write: TableWrite;
  readonly purpose: WritePurpose;
  readonly result: "committed" | "conflicted" | "unsettled";
  readonly firstSentAtMs: number;
  /** The current rows of the table that conflicted with the write. */
  readonly rows: readonly TableRow[];
}

/** A mirrored range of the table. */
export interface MirroredRange {
  readonly prefix: RowKey;
  /** Version up to which the mirror has all commits. */
  upToVersion: TableVersion;
  /** When the mirrored view was current, on this node's clock; null before the first read. */
  confirmedAtMs: number | null;
}

/** State of the platform slice: the mirror of the table and the pending writes. */
export interface PlatformState {
  mirror: Map<RowKey, TableRow>;
  ranges: Map<RowKey, MirroredRange>;
  pendingWrites: Map<WriteId, PendingWrite>;
  nextWriteSequence: number;
  readInFlight: boolean;
  nextReadAtMs: number;
  consecutiveReadFailures: number;
  /** Offset of the table's clock from this node's clock in ms, as of the last read. */
  tableClockOffsetMs: number | null;
}

/** Outcomes of reads from and writes to the table. */
export type PlatformEvent =
  | {
      readonly type: "table/readCompleted";
      readonly atMs: number;
      /** When the read was sent, on this node's clock. */
      readonly sentAtMs: number;
      /** Age of the source's view in ms when the read was sent; 0 from the table itself. */
      readonly viewAgeMs: number;
      readonly ranges: readonly TableRange[];
      readonly rows: readonly TableRow[];
      /** Version up to which the answer has all commits. */
      readonly upToVersion: TableVersion;
      /** The table's clock; null when a peer answered. */
      readonly tableTimeMs: number | null;
    }
  | { readonly type: "table/readFailed"; readonly atMs: number; readonly reason: string }
  | {
      readonly type: "table/writeCommitted";
      readonly atMs: number;
      readonly writeId: WriteId;
      readonly version: TableVersion;
    }
  | {
      readonly type: "table/writeConflicted";
      readonly atMs: number;
      readonly writeId: WriteId;
      readonly rows: readonly TableRow[];
    }
  /** No answer was received: the write may or may not have taken effect. */
  | {
      readonly type: "table/writeUnanswered";
      readonly atMs: number;
      readonly writeId: WriteId;
      readonly reason: string;
    };

/** Reads from and writes to the table. */
export type PlatformEffect =
  | { readonly type: "table/read"; readonly ranges: readonly TableRange[] }
  | { readonly type: "table/write"; readonly write: TableWrite };
