import type { HostId, ValueOf, WaveId } from "@heatherferry/common";
import type { WAVE_STATUS } from "./constants.js";

export type WaveStatus = ValueOf<typeof WAVE_STATUS>;

/** Progress of a maintenance wave. Key: `wave/<wave>`. */
export interface WaveRow {
  readonly type: "wave";
  readonly waveId: WaveId;
  readonly status: WaveStatus;
  readonly planned: readonly HostId[];
  readonly done: readonly HostId[];
  readonly failed: readonly HostId[];
  /** Table clock at the first permit. */
  readonly startedAtMs: number | null;
}

export interface WavesState {
  waves: Map<WaveId, WaveRow>;
}
