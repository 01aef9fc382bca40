import { RUN_TIMES_ROW } from "./constants.js";
import { KindHistory } from "./kindHistory.js";
import type { KindLimits } from "./kindLimits.js";
import type { KindTable } from "./kindTable.js";
import type { RunSample, RunTimesRow, StoredKind, StoredSample } from "./types.js";

const MIN_SAMPLE_FIELDS = 4;
const MAX_HASH = 0xffffffff;

const storedSample = (sample: RunSample): StoredSample => {
  const { source, team, durationMs, estimateMs, predictedMs } = sample;
  return [source, team, durationMs, estimateMs, ...(predictedMs === null ? [] : [predictedMs])].map(
    Math.round,
  );
};

const storedKind = (key: string, history: KindHistory, nowMs: number): StoredKind => ({
  key,
  ageMs: Math.round(nowMs - history.lastEndAtMs),
  samples: history.evenlySpaced(RUN_TIMES_ROW.MAX_SAMPLES).map(storedSample),
});

/** Returns the newest kinds of a level that fit into a number of bytes, oldest first. */
const storedTable = (
  table: KindTable,
  nowMs: number,
  maxBytes: number,
): { kinds: StoredKind[]; bytes: number } => {
  const kinds: StoredKind[] = [];
  let bytes = 0;
  for (const [key, history] of table.newestFirst()) {
    const kind = storedKind(key, history, nowMs);
    const kindBytes = JSON.stringify(kind).length + 1;
    if (bytes + kindBytes > maxBytes) {
      break;
    }
    if (key.length <= RUN_TIMES_ROW.MAX_KEY_LENGTH) {
      bytes += kindBytes;
      kinds.unshift(kind);
    }
  }
  return { kinds, bytes };
};

/**
 * Returns what the row holds: of each level the newest kinds, of bounded size in all. General levels
 * have few kinds and leave what they don't need to the more specific ones.
 */
export const storedLevels = (
  tables: readonly KindTable[],
  nowMs: number,
): RunTimesRow["levels"] => {
  let bytesLeft: number = RUN_TIMES_ROW.MAX_BYTES;
  return tables
    .map((table, index) => ({ table, index }))
    .reverse()
    .map(({ table, index }) => {
      const { kinds, bytes } = storedTable(table, nowMs, bytesLeft / (index + 1));
      bytesLeft -= bytes;
      return kinds;
    })
    .reverse();
};

const isBetween = (value: unknown, from: number, to: number): value is number =>
  typeof value === "number" && value >= from && value <= to;

const isRunTime = (value: unknown): value is number =>
  isBetween(value, 0, RUN_TIMES_ROW.MAX_RUN_TIME_MS);

const readSample = (fields: unknown): RunSample | null => {
  if (!Array.isArray(fields) || fields.length < MIN_SAMPLE_FIELDS) {
    return null;
  }
  const [source, team, durationMs, estimateMs, predictedMs = null] = fields as readonly unknown[];
  return isBetween(source, 0, Number.MAX_SAFE_INTEGER) &&
    isBetween(team, 0, MAX_HASH) &&
    isRunTime(durationMs) &&
    isRunTime(estimateMs) &&
    (predictedMs === null || isRunTime(predictedMs))
    ? { source, team, durationMs, estimateMs, predictedMs }
    : null;
};

const readKind = (
  kind: unknown,
  limits: KindLimits,
  writtenAtMs: number,
): { key: string; history: KindHistory } | null => {
  const { key, ageMs, samples } = (kind ?? {}) as Partial<Record<keyof StoredKind, unknown>>;
  if (
    typeof key !== "string" ||
    key.length > RUN_TIMES_ROW.MAX_KEY_LENGTH ||
    !isBetween(ageMs, 0, Number.MAX_SAFE_INTEGER) ||
    !Array.isArray(samples)
  ) {
    return null;
  }
  const history = new KindHistory(limits, writtenAtMs - ageMs);
  for (const fields of samples.slice(-RUN_TIMES_ROW.MAX_SAMPLES)) {
    const sample = readSample(fields);
    if (sample !== null) {
      history.add(sample);
    }
  }
  return history.size === 0 ? null : { key, history };
};

/**
 * Restores the kinds that a row holds. Kinds and samples that make no sense are left out, so a wrong
 * row costs accuracy only, until newer ends outweigh it.
 */
export const restoreLevels = (
  row: RunTimesRow,
  tables: readonly KindTable[],
  nowMs: number,
  wallMs: number,
): void => {
  const { form, writtenWallMs, levels } = row as Partial<Record<keyof RunTimesRow, unknown>>;
  if (form !== RUN_TIMES_ROW.FORM || !Array.isArray(levels)) {
    return;
  }
  const sinceMs = typeof writtenWallMs === "number" ? Math.max(0, wallMs - writtenWallMs) : 0;
  tables.forEach((table, index) => {
    const kinds: unknown = levels[index];
    for (const stored of Array.isArray(kinds) ? (kinds as readonly unknown[]) : []) {
      const kind = readKind(stored, table.limits, nowMs - sinceMs);
      if (kind !== null) {
        table.put(kind.key, kind.history);
      }
    }
  });
};
