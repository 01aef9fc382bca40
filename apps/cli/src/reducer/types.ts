import type { TableRange, TableRow, TableWrite } from "@heatherferry/core";
import type { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { ExitCode, Stream, Write } from "../operation/types.js";

/** A transaction that was sent and has no known outcome yet. */
export interface PendingWrite {
  readonly decision: Write;
  readonly write: TableWrite;
  sends: number;
}

/** State of a running command. Only the reducer changes it. */
export interface CommandState {
  operation: Operation;
  /** Id that is unique to this execution of the command; the prefix of its write ids. */
  readonly invocation: string;
  pending: PendingWrite | null;
  nextWriteSequence: number;
  readFailures: number;
  conflicts: number;
}

/** Events of a command. Times are on this machine's monotonic clock. */
export type CommandEvent =
  | { readonly type: "command/started"; readonly atMs: number }
  | { readonly type: "table/readCompleted"; readonly atMs: number; readonly view: TableView }
  | { readonly type: "table/readFailed"; readonly atMs: number; readonly reason: string }
  | { readonly type: "table/writeCommitted"; readonly atMs: number }
  | {
      readonly type: "table/writeConflicted";
      readonly atMs: number;
      readonly rows: readonly TableRow[];
    }
  /** No reply: the transaction may or may not have been committed. */
  | { readonly type: "table/writeUnanswered"; readonly atMs: number; readonly reason: string }
  | { readonly type: "timer/elapsed"; readonly atMs: number };

/** Effects of a command, as data. */
export type CommandEffect =
  | { readonly type: "table/read"; readonly ranges: readonly TableRange[] }
  | { readonly type: "table/write"; readonly write: TableWrite }
  | { readonly type: "timer/start"; readonly delayMs: number }
  | { readonly type: "text/print"; readonly stream: Stream; readonly text: string }
  | { readonly type: "command/exit"; readonly exitCode: ExitCode };
