import type { EXIT_CODE, RowKey, ValueOf } from "@heatherferry/common";
import type { RowBody, TableRow } from "@heatherferry/core";
import type { STREAM } from "../constants.js";
import type { Operation } from "./operation.js";

export type ExitCode = ValueOf<typeof EXIT_CODE>;
export type Stream = ValueOf<typeof STREAM>;

/** Text to print for the operator. */
export interface Output {
  readonly stream: Stream;
  readonly text: string;
}

/** Decision: the command has finished. */
export interface Finish {
  readonly type: "finish";
  readonly outputs: readonly Output[];
  readonly exitCode: ExitCode;
}

/** Decision: read the table again after a delay, for another operation. */
export interface Continue {
  readonly type: "continue";
  readonly outputs: readonly Output[];
  readonly afterMs: number;
  readonly operation: Operation;
}

/** One row of a transaction; written only if it is unchanged since it was read. */
export interface PlannedRow {
  readonly key: RowKey;
  /** The row as it was read; null if it must not exist. */
  readonly previous: TableRow | null;
  readonly body: RowBody;
}

/** Decision: send one transaction. */
export interface Write {
  readonly type: "write";
  readonly rows: readonly PlannedRow[];
  /** Decision that follows when the transaction is committed. */
  readonly committed: Finish | Continue;
  /** Operation that decides again after a write conflict. */
  readonly conflicted: Operation;
  /** Message for a transaction without a reply: what is unknown, and which command to run. */
  readonly unknown: string;
}

/** Result of an operation on the rows that it read. */
export type Decision = Finish | Continue | Write;
