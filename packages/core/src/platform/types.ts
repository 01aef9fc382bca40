import type { RowKey, TableVersion, WriteId } from "@heatherferry/common";
import type { AuditRow, RulesHeadRow } from "../revisions/types.js";
import type { MemberRow } from "../membership/types.js";
import type { HostRow, MaintainerLeaseRow, PoolBudgetRow } from "../fleet/types.js";
import type { WaveRow } from "../waves/types.js";
import type { TeamEscrowRow, ZoneEscrowRow } from "../limits/types.js";
import type { ClaimRow } from "../tickets/types.js";

/** What a row holds; decoded and checked outside the core. */
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

/** A row of the platform's table, as read. */
export interface TableRow<Body extends RowBody = RowBody> {
  readonly key: RowKey;
  /** Commit sequence of the last write to this row. */
  readonly version: TableVersion;
  /** Time of that commit on the table's clock. */
  readonly committedAtMs: number;
  /** Ids of the last writes to this row, newest last: they settle lost replies. */
  readonly writeIds: readonly WriteId[];
  readonly body: Body;
}

/** Rows under a key prefix that changed after a version. */
export interface TableRange {
  readonly prefix: RowKey;
  readonly afterVersion: TableVersion;
}

/** The row must still be at this version; version 0 says that it must not exist. */
export interface RowCondition {
  readonly key: RowKey;
  readonly version: TableVersion;
}

export interface RowPut {
  readonly key: RowKey;
  readonly writeIds: readonly WriteId[];
  readonly body: RowBody;
}

/** One transaction: all puts take effect if all conditions hold, else none. */
export interface TableWrite {
  readonly writeId: WriteId;
  readonly conditions: readonly RowCondition[];
  readonly puts: readonly RowPut[];
}

/** The slice that a write's outcome belongs to. */
export type WritePurpose = "membership" | "escrow" | "claim" | "fleet" | "wave" | "lease";

export interface PendingWrite {
  readonly write: TableWrite;
  readonly purpose: WritePurpose;
  readonly firstSentAtMs: number;
  /** After this time the write is given up unsettled; null to resend until settled. */
  readonly giveUpAtMs: number | null;
  sends: number;
  /** Null while an answer is awaited. */
  resendAtMs: number | null;
}

/** How a write ended, handed to the slice that asked for it. */
export interface WriteOutcome {
  readonly write: TableWrite;
  readonly purpose: WritePurpose;
  readonly result: "committed" | "conflicted" | "unsettled";
  readonly firstSentAtMs: number;
  /** The conflicting rows as they are in the table. */
  readonly rows: readonly TableRow[];
}

/** A mirrored part of the table. */
export interface MirroredRange {
  readonly prefix: RowKey;
  /** All commits up to here are in the mirror. */
  upToVersion: TableVersion;
  /** When this node asked for the newest view it holds, on its own clock. */
  confirmedAtMs: number | null;
}

export interface PlatformState {
  mirror: Map<RowKey, TableRow>;
  ranges: Map<RowKey, MirroredRange>;
  pendingWrites: Map<WriteId, PendingWrite>;
  nextWriteSequence: number;
  readInFlight: boolean;
  nextReadAtMs: number;
  consecutiveReadFailures: number;
  /** Offset of the table's clock from this node's clock at the last read. */
  tableClockOffsetMs: number | null;
}

export type PlatformEvent =
  | {
      readonly type: "table/readCompleted";
      readonly atMs: number;
      /** When the read was sent, on this node's clock. */
      readonly sentAtMs: number;
      /** Age of the view at its source when the read was sent: 0 from the table itself. */
      readonly viewAgeMs: number;
      readonly ranges: readonly TableRange[];
      readonly rows: readonly TableRow[];
      /** All commits up to here are in the answer. */
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
  /** No reply: the write may or may not have taken effect. */
  | {
      readonly type: "table/writeUnanswered";
      readonly atMs: number;
      readonly writeId: WriteId;
      readonly reason: string;
    };

export type PlatformEffect =
  | { readonly type: "table/read"; readonly ranges: readonly TableRange[] }
  | { readonly type: "table/write"; readonly write: TableWrite };
