import { tableVersion, type WriteId } from "@heatherferry/common";
import { PLATFORM, type RowPut, type TableRow, type TableWrite } from "@heatherferry/core";
import type { PlannedRow } from "./types.js";

const putOf = (row: PlannedRow, writeId: WriteId): RowPut => ({
  key: row.key,
  writeIds: [...(row.previous?.writeIds ?? []), writeId].slice(-PLATFORM.MAX_WRITE_IDS_PER_ROW),
  body: row.body,
});

/**
 * Returns a transaction that commits only if each row is unchanged since it was read.
 *
 * @param rows - Rows to write.
 * @param writeId - Id of the transaction; stored in each row, so that a transaction whose reply
 *   was lost can be recognised as committed.
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
 * Whether a transaction that conflicted was itself committed by an earlier send.
 *
 * @param writeId - Id of the transaction.
 * @param rows - Current content of the conflicting rows.
 */
export const wasCommittedEarlier = (writeId: WriteId, rows: readonly TableRow[]): boolean =>
  rows.some((row) => row.writeIds.includes(writeId));
