import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import type { WavesState } from "./types.js";

/** Returns the state of the waves before any row has been read. */
export const initialWaves = (): WavesState => ({ waves: new Map(), lastRefusals: new Map() });

/**
 * Applies changed wave rows of the mirror.
 *
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 */
export const applyWaveRows = (state: State, rows: readonly TableRow[]): void => {
  for (const { body } of rows) {
    if (body.type === "wave") {
      state.waves.waves.set(body.waveId, body);
    }
  }
};
