import { WAVE_STATUS } from "./constants.js";
import type { WaveProgress, WaveRow } from "./types.js";

/**
 * Computes a wave's progress, and its expected end at the average pace so far.
 *
 * @param wave - A wave.
 * @param tableTimeMs - Current time of the table's clock, in ms.
 */
export const waveProgress = (wave: WaveRow, tableTimeMs: number): WaveProgress => {
  const done = wave.done.length;
  const remaining = wave.planned.length - done - wave.failed.length;
  const hasPace = wave.status === WAVE_STATUS.RUNNING && done > 0;
  if (!hasPace || wave.startedAtMs === null) {
    return { done, remaining, failed: wave.failed.length, expectedEndMs: null };
  }
  const msPerHost = (tableTimeMs - wave.startedAtMs) / done;
  const expectedEndMs = tableTimeMs + msPerHost * remaining;
  return { done, remaining, failed: wave.failed.length, expectedEndMs };
};
