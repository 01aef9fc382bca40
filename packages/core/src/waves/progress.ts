import { WAVE_STATUS } from "./constants.js";
import type { WaveProgress, WaveRow } from "./types.js";

/**
 * @param wave - A wave.
 * @param tableTimeMs - The table's clock.
 * @returns How far it is, and when it is expected to end at its pace so far.
 */
export const waveProgress = (wave: WaveRow, tableTimeMs: number): WaveProgress => {
  const done = wave.done.length;
  const remaining = wave.planned.length - done - wave.failed.length;
  const runs = wave.status === WAVE_STATUS.RUNNING && done > 0;
  if (!runs || wave.startedAtMs === null) {
    return { done, remaining, failed: wave.failed.length, expectedEndMs: null };
  }
  const paceMs = (tableTimeMs - wave.startedAtMs) / done;
  const expectedEndMs = tableTimeMs + paceMs * remaining;
  return { done, remaining, failed: wave.failed.length, expectedEndMs };
};
