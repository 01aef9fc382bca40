import { type WaveRow, waveProgress } from "@heatherferry/core";

const describeEnd = (wave: WaveRow, tableTimeMs: number): string => {
  const { expectedEndMs } = waveProgress(wave, tableTimeMs);
  return expectedEndMs === null ? "" : `, expected end ${new Date(expectedEndMs).toISOString()}`;
};

/**
 * Describes the progress of a maintenance wave in one line.
 *
 * @param wave - The wave's row.
 * @param tableTimeMs - Current time of the table's clock, in milliseconds.
 */
export const describeWave = (wave: WaveRow, tableTimeMs: number): string => {
  const failed = wave.failed.length === 0 ? "" : `, failed: ${wave.failed.join(" ")}`;
  return (
    `${wave.waveId}: ${wave.status}, ${wave.done.length} of ${wave.planned.length} hosts done` +
    `${failed}${describeEnd(wave, tableTimeMs)}`
  );
};
