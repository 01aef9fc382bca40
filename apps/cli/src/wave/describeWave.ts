import type { WaveRow } from "@heatherferry/core";

/**
 * The rest of the wave is taken to go at the pace so far.
 *
 * @param wave - A wave's progress.
 * @param tableTimeMs - The table's clock now.
 * @returns The expected end on that clock; null before the first host is done.
 */
export const expectedEndMs = (wave: WaveRow, tableTimeMs: number): number | null => {
  const finished = wave.done.length + wave.failed.length;
  if (wave.startedAtMs === null || finished === 0) {
    return null;
  }
  const remaining = Math.max(wave.planned.length - finished, 0);
  return tableTimeMs + ((tableTimeMs - wave.startedAtMs) / finished) * remaining;
};

const describeEnd = (wave: WaveRow, tableTimeMs: number): string => {
  const endMs = wave.status === "running" ? expectedEndMs(wave, tableTimeMs) : null;
  return endMs === null ? "" : `, expected end ${new Date(endMs).toISOString()}`;
};

/**
 * @param wave - A wave's progress.
 * @param tableTimeMs - The table's clock now.
 * @returns One line.
 */
export const describeWave = (wave: WaveRow, tableTimeMs: number): string => {
  const failed = wave.failed.length === 0 ? "" : `, failed: ${wave.failed.join(" ")}`;
  return (
    `${wave.waveId}: ${wave.status}, ${wave.done.length} of ${wave.planned.length} hosts done` +
    `${failed}${describeEnd(wave, tableTimeMs)}`
  );
};
