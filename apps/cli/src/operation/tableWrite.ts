import { tableVersion, type WriteId } from "@heatherferry/common";
import { PLATFORM, type RowPut, type TableRow, type TableWrite } from "@heatherferry/core";
import type { PlannedRow } from "./types.js";

const putOf = (row: PlannedRow, writeId: WriteId): RowPut => ({
  key: row.key,
  writeIds: [...(row.previous?.writeIds ?? []), writeId].slice(-PLATFORM.KEPT_WRITE_IDS),
  body: row.body,
});

/**
 * @param rows - The rows of one transaction.
 * @param writeId - Its id, kept in each row to settle a lost reply.
 * @returns The transaction, conditional on each row being as it was read.
 */
export const tableWriteOf = (rows: readonly PlannedRow[], writeId: WriteId): TableWrite => ({
  writeId,
  conditions: rows.map(({ key, previous }) => ({
    key,
    version: previous?.version ?? tableVersion(0),
  })),
  puts: rows.map((row) => putOf(row, writeId)),
});

/**
 * @param writeId - Id of a transaction that conflicted.
 * @param rows - The conflicting rows as they are.
 * @returns Whether the transaction itself is what changed them, on an earlier send.
 */
export const tookEffectEarlier = (writeId: WriteId, rows: readonly TableRow[]): boolean =>
  rows.some((row) => row.writeIds.includes(writeId));
