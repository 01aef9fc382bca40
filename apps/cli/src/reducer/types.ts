import type { TableRange, TableRow, TableWrite } from "@heatherferry/core";
import type { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { ExitCode, Stream, Write } from "../operation/types.js";

/** A transaction whose outcome is not known yet. */
export interface PendingWrite {
  readonly decision: Write;
  readonly write: TableWrite;
  sends: number;
}

/** All that a running command knows. Only the reducer writes to it. */
export interface CommandState {
  operation: Operation;
  /** First part of this run's write ids. */
  readonly invocation: string;
  pending: PendingWrite | null;
  nextWriteSequence: number;
  readFailures: number;
  conflicts: number;
}

/** All that can happen to a command. Times are on this machine's monotonic clock. */
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
  /** No reply: the write may or may not have taken effect. */
  | { readonly type: "table/writeUnanswered"; readonly atMs: number; readonly reason: string }
  | { readonly type: "timer/elapsed"; readonly atMs: number };

/** All that a command can do, as data. */
export type CommandEffect =
  | { readonly type: "table/read"; readonly ranges: readonly TableRange[] }
  | { readonly type: "table/write"; readonly write: TableWrite }
  | { readonly type: "timer/start"; readonly delayMs: number }
  | { readonly type: "text/print"; readonly stream: Stream; readonly text: string }
  | { readonly type: "command/exit"; readonly exitCode: ExitCode };
