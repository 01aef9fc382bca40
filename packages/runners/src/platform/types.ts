import type { TableRow } from "@heatherferry/core";
import type { TableVersion } from "@heatherferry/common";

/** Result of a read: a consistent view of the ranges up to one version. */
export interface TableReadResult {
  readonly rows: readonly TableRow[];
  readonly upToVersion: TableVersion;
  /** Time on the table's clock when it answered, in ms. */
  readonly tableTimeMs: number;
}

/** Result of a transaction. */
export type TableWriteResult =
  | { readonly type: "committed"; readonly version: TableVersion }
  /** Nothing was written; `rows` holds the current rows whose conditions failed. */
  | { readonly type: "conflicted"; readonly rows: readonly TableRow[] };
