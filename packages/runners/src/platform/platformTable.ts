import type { TableRange, TableWrite } from "@heatherferry/core";
import type { TableReadResult, TableWriteResult } from "./types.js";

/** The platform's transactional table. */
export abstract class PlatformTable {
  /**
   * @param ranges - Key prefixes, each with the version after which changes are wanted.
   * @returns The changed rows, in one consistent view.
   * @throws PlatformError when the table is down, slow past the timeout, or answers nonsense.
   */
  abstract read(ranges: readonly TableRange[]): Promise<TableReadResult>;

  /**
   * @param write - One transaction.
   * @returns Whether it took effect.
   * @throws PlatformError when no answer came: the write may or may not have taken effect.
   */
  abstract write(write: TableWrite): Promise<TableWriteResult>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
