import { tableVersion, type RowKey } from "@heatherferry/common";
import type { RowCondition, TableRange } from "@heatherferry/core";
import { PLATFORM_STAND_IN } from "./constants.js";
import type { PlatformAnswer, StoredRow, StoredWrite, TableState } from "./types.js";

/** Returns the index of the first log entry after a version, by binary search. */
const firstEntryAfter = (table: TableState, version: number): number => {
  let low = 0;
  let high = table.log.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const entry = table.log[middle];
    if (entry !== undefined && entry.version <= version) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};

/** Returns the rows committed after a version, skipping log entries that are out of date. */
const rowsAfter = (table: TableState, version: number): StoredRow[] => {
  const rows: StoredRow[] = [];
  for (let index = firstEntryAfter(table, version); index < table.log.length; index += 1) {
    const entry = table.log[index];
    const row = entry === undefined ? undefined : table.rows.get(entry.key);
    if (row !== undefined && row.version === entry?.version) {
      rows.push(row);
    }
  }
  return rows;
};

const isInRanges = (row: StoredRow, ranges: readonly TableRange[]): boolean =>
  ranges.some((range) => row.version > range.afterVersion && row.key.startsWith(range.prefix));

/**
 * Reads the rows of some ranges that have changed since the versions given.
 *
 * @param table - The table.
 * @param ranges - Key prefixes, each with the version after which to return changes.
 * @param atMs - Current time of the table.
 * @returns The rows, oldest commit first.
 */
export const readRanges = (
  table: TableState,
  ranges: readonly TableRange[],
  atMs: number,
): PlatformAnswer & { type: "rowsRead" } => {
  const oldest = Math.min(table.version, ...ranges.map((range) => range.afterVersion));
  const rows = rowsAfter(table, oldest).filter((row) => isInRanges(row, ranges));
  return { type: "rowsRead", rows, upToVersion: table.version, tableTimeMs: atMs };
};

const conditionHolds = (table: TableState, condition: RowCondition): boolean =>
  (table.rows.get(condition.key)?.version ?? 0) === condition.version;

const compactLog = (table: TableState): void => {
  if (table.log.length <= 2 * table.rows.size + PLATFORM_STAND_IN.LOG_COMPACTION_SLACK) {
    return;
  }
  table.log = table.log.filter(({ key, version }) => table.rows.get(key)?.version === version);
};

const commit = (table: TableState, write: StoredWrite, atMs: number): void => {
  table.version = tableVersion(table.version + 1);
  table.lastCommittedAtMs = Math.max(table.lastCommittedAtMs, atMs);
  const { version, lastCommittedAtMs: committedAtMs } = table;
  for (const { key, writeIds, body } of write.puts) {
    table.rows.set(key, { key, version, committedAtMs, writeIds, body });
    table.log.push({ version, key });
  }
  write.deletes.forEach((key) => table.rows.delete(key));
  compactLog(table);
};

const isRow = (row: StoredRow | undefined): row is StoredRow => row !== undefined;

const currentRows = (table: TableState, keys: readonly RowKey[]): readonly StoredRow[] =>
  keys.map((key) => table.rows.get(key)).filter(isRow);

/**
 * Commits a transaction if all its conditions hold.
 *
 * @param table - The table.
 * @param write - The transaction.
 * @param atMs - Current time of the table.
 * @returns The new version, or the current rows of the conditions that failed.
 */
export const writeRows = (
  table: TableState,
  write: StoredWrite,
  atMs: number,
): PlatformAnswer & { type: "committed" | "conflicted" } => {
  const failedConditions = write.conditions.filter(
    (condition) => !conditionHolds(table, condition),
  );
  if (failedConditions.length > 0) {
    const keys = failedConditions.map((condition) => condition.key);
    return { type: "conflicted", rows: currentRows(table, keys) };
  }
  commit(table, write, atMs);
  return { type: "committed", version: table.version };
};
