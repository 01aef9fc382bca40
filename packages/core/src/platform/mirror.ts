import { tableVersion, type RowKey } from "@heatherferry/common";
import type { State } from "../state.js";
import type { MirroredRange, RowBody, TableRange, TableRow } from "./types.js";

/**
 * Takes rows into the mirror; a row never goes back to an earlier version.
 *
 * @param state - The state to change.
 * @param rows - Rows from the table or from a peer, in any order.
 * @returns The rows that were news.
 */
export const takeRows = (state: State, rows: readonly TableRow[]): readonly TableRow[] => {
  const news = rows.filter((row) => {
    const known = state.platform.mirror.get(row.key);
    return known === undefined || known.version < row.version;
  });
  for (const row of news) {
    state.platform.mirror.set(row.key, row);
  }
  return news;
};

/**
 * @param state - The state to change.
 * @param prefix - Keys that are to be mirrored from now on.
 */
export const mirrorPrefix = (state: State, prefix: RowKey): void => {
  if (!state.platform.ranges.has(prefix)) {
    const range: MirroredRange = { prefix, upToVersion: tableVersion(0), confirmedAtMs: null };
    state.platform.ranges.set(prefix, range);
  }
};

/**
 * @param state - The state to read.
 * @returns The ranges to read next, each from where the mirror stands.
 */
export const rangesToRead = (state: State): readonly TableRange[] =>
  [...state.platform.ranges.values()].map((range) => ({
    prefix: range.prefix,
    afterVersion: range.upToVersion,
  }));

/**
 * Notes that the mirror holds all commits of the ranges that were asked for. An answer that
 * starts beyond the mirror's own end leaves a gap and confirms nothing.
 *
 * @param state - The state to change.
 * @param asked - The ranges of the read.
 * @param upToVersion - All commits up to here were in the answer.
 * @param asOfMs - Time on this node's clock at which the view was current.
 */
export const confirmRanges = (
  state: State,
  asked: readonly TableRange[],
  upToVersion: number,
  asOfMs: number,
): void => {
  for (const { prefix, afterVersion } of asked) {
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
 * @returns Age of the view in ms; infinite when there is none.
 */
export const viewAgeMs = (state: State, prefix: RowKey): number => {
  const confirmedAtMs = state.platform.ranges.get(prefix)?.confirmedAtMs ?? null;
  return confirmedAtMs === null ? Number.POSITIVE_INFINITY : state.nowMs - confirmedAtMs;
};

/**
 * @param state - The state to read.
 * @param key - Key of a row.
 * @param type - Kind of row that is expected there.
 * @returns The mirrored row of that kind, or null.
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
 * @returns The table's clock now as far as this node knows, in ms; null before the first read.
 */
export const tableNowMs = (state: State): number | null =>
  state.platform.tableClockOffsetMs === null
    ? null
    : state.nowMs + state.platform.tableClockOffsetMs;
