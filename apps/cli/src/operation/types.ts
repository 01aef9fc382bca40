import type { EXIT_CODE, RowKey, ValueOf } from "@heatherferry/common";
import type { RowBody, TableRow } from "@heatherferry/core";
import type { STREAM } from "../constants.js";
import type { Operation } from "./operation.js";

export type ExitCode = ValueOf<typeof EXIT_CODE>;
export type Stream = ValueOf<typeof STREAM>;

/** Text for the operator. */
export interface Output {
  readonly stream: Stream;
  readonly text: string;
}

/** The command is at its end. */
export interface Finish {
  readonly type: "finish";
  readonly outputs: readonly Output[];
  readonly exitCode: ExitCode;
}

/** Read the table again, after a while, for the next operation. */
export interface Continue {
  readonly type: "continue";
  readonly outputs: readonly Output[];
  readonly afterMs: number;
  readonly operation: Operation;
}

/** One row of a transaction: written only if it still is as it was read. */
export interface PlannedRow {
  readonly key: RowKey;
  /** The row as it was read; null when it must not exist. */
  readonly previous: TableRow | null;
  readonly body: RowBody;
}

/** Send one transaction. */
export interface Write {
  readonly type: "write";
  readonly rows: readonly PlannedRow[];
  /** What follows once it took effect. */
  readonly committed: Finish | Continue;
  /** What decides anew when another writer was first. */
  readonly conflicted: Operation;
  /** What may or may not have happened when no answer comes, and what to run then. */
  readonly unknown: string;
}

/** What an operation makes of the table as it is. */
export type Decision = Finish | Continue | Write;
