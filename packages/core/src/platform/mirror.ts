import { tableVersion, type RowKey } from "@heatherferry/common";
import type { State } from "../state.js";
import type { MirroredRange, RowBody, TableRange, TableRow } from "./types.js";

/**
 * Merges rows into the mirror. A row never reverts to an earlier version.
 *
 * @param state - The state to change.
 * @param rows - Rows from the table or from a peer, in any order.
 * @returns The rows that were newer than the mirror's.
 */
export const mergeRows = (state: State, rows: readonly TableRow[]): readonly TableRow[] => {
  const newer = rows.filter((row) => {
    const known = state.platform.mirror.get(row.key);
    return known === undefined || known.version < row.version;
  });
  for (const row of newer) {
    state.platform.mirror.set(row.key, row);
  }
  return newer;
};

/**
 * Adds the rows under a key prefix to the mirror, starting with the next read.
 *
 * @param state - The state to change.
 * @param prefix - Prefix of the keys.
 */
export const mirrorPrefix = (state: State, prefix: RowKey): void => {
  if (!state.platform.ranges.has(prefix)) {
    const range: MirroredRange = { prefix, upToVersion: tableVersion(0), confirmedAtMs: null };
    state.platform.ranges.set(prefix, range);
  }
};

/**
 * @param state - The state to read.
 * @returns The ranges to read next, each from the version up to which it is mirrored.
 */
export const rangesToRead = (state: State): readonly TableRange[] =>
  [...state.platform.ranges.values()].map((range) => ({
    prefix: range.prefix,
    afterVersion: range.upToVersion,
  }));

/**
 * Records that the mirror holds all commits of the ranges that were read. An answer that starts
 * after the version up to which a range is mirrored leaves a gap, and confirms nothing.
 *
 * @param state - The state to change.
 * @param rangesRead - The ranges that were read.
 * @param upToVersion - Version up to which the answer has all commits.
 * @param asOfMs - When the view was current, on this node's clock.
 */
export const confirmRanges = (
  state: State,
  rangesRead: readonly TableRange[],
  upToVersion: number,
  asOfMs: number,
): void => {
  for (const { prefix, afterVersion } of rangesRead) {
    const range = state.platform.ranges.get(prefix);
    if (range === undefined || afterVersion > range.upToVersion) {
      continue;
    }
    if (upToVersion < range.upToVersion) {
      continue;
    }
    range.upToVersion = tableVersion(upToVersion);
    range.confirmedAtMs = Math.max(range.confirmedAtMs ?? asOfMs, asOfMs);
  }
};

/**
 * @param state - The state to read.
 * @param prefix - A mirrored prefix.
 * @returns Age of the mirrored view in ms; infinite when there is none.
 */
export const viewAgeMs = (state: State, prefix: RowKey): number => {
  const confirmedAtMs = state.platform.ranges.get(prefix)?.confirmedAtMs ?? null;
  return confirmedAtMs === null ? Number.POSITIVE_INFINITY : state.nowMs - confirmedAtMs;
};

/**
 * @param state - The state to read.
 * @param key - Key of a row.
 * @param type - The expected type of the row.
 * @returns The mirrored row if it has that type, or null.
 */
export const mirroredRow = <Type extends RowBody["type"]>(
  state: State,
  key: RowKey,
  type: Type,
): TableRow<Extract<RowBody, { type: Type }>> | null => {
  const row = state.platform.mirror.get(key);
  return row?.body.type === type ? (row as TableRow<Extract<RowBody, { type: Type }>>) : null;
};

/**
 * @param state - The state to read.
 * @returns This node's estimate of the table's clock in ms; null before the first read.
 */
export const tableNowMs = (state: State): number | null =>
  state.platform.tableClockOffsetMs === null
    ? null
    : state.nowMs + state.platform.tableClockOffsetMs;
