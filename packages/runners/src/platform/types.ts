import type { TableRow } from "@heatherferry/core";
import type { TableVersion } from "@heatherferry/common";

/** Answer to a read of ranges: a consistent view up to one version. */
export interface TableReadResult {
  readonly rows: readonly TableRow[];
  readonly upToVersion: TableVersion;
  /** The table's clock when it answered. */
  readonly tableTimeMs: number;
}

/** Answer to a transaction. */
export type TableWriteResult =
  | { readonly type: "committed"; readonly version: TableVersion }
  /** Nothing took effect; the rows whose conditions failed, as they are. */
  | { readonly type: "conflicted"; readonly rows: readonly TableRow[] };
