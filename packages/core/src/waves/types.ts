import type { HostId, ValueOf, WaveId } from "@heatherferry/common";
import type { PermitRefusal } from "../fleet/types.js";
import type { WAVE_STATUS } from "./constants.js";

export type WaveStatus = ValueOf<typeof WAVE_STATUS>;

/** State of a maintenance wave. Key: `wave/<wave>`. */
export interface WaveRow {
  readonly type: "wave";
  readonly waveId: WaveId;
  readonly status: WaveStatus;
  readonly planned: readonly HostId[];
  readonly done: readonly HostId[];
  readonly failed: readonly HostId[];
  /** Table clock at the first permit; null before. */
  readonly startedAtMs: number | null;
}

/** Progress of a wave, for operators. */
export interface WaveProgress {
  readonly done: number;
  readonly remaining: number;
  readonly failed: number;
  /** Table clock at the expected end; null while the pace is unknown or the wave does not run. */
  readonly expectedEndMs: number | null;
}

/** State of all maintenance waves. */
export interface WavesState {
  waves: Map<WaveId, WaveRow>;
  /** Last refusal of a permit for each wave, kept so that only changes are logged. */
  lastRefusals: Map<WaveId, PermitRefusal | null>;
}
