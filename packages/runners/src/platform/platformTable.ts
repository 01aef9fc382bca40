import type { TableRange, TableWrite } from "@heatherferry/core";
import type { TableReadResult, TableWriteResult } from "./types.js";

/** The platform's transactional table. */
export abstract class PlatformTable {
  /**
   * Reads the rows that have changed.
   *
   * @param ranges - Key prefixes, each with the version after which changes are requested.
   * @returns The changed rows, in one consistent view.
   * @throws PlatformError if the table is down, times out or sends a malformed answer.
   */
  abstract read(ranges: readonly TableRange[]): Promise<TableReadResult>;

  /**
   * Writes one transaction.
   *
   * @param write - The transaction.
   * @returns Whether it was committed.
   * @throws PlatformError if no answer arrives; the write may or may not have taken effect.
   */
  abstract write(write: TableWrite): Promise<TableWriteResult>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
