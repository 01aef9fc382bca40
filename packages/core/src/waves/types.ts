import type { HostId, ValueOf, WaveId } from "@heatherferry/common";
import type { PermitRefusal } from "../fleet/types.js";
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

/** A wave as operators see it. */
export interface WaveProgress {
  readonly done: number;
  readonly remaining: number;
  readonly failed: number;
  /** Table clock at the expected end; null while there is no pace to go by. */
  readonly expectedEndMs: number | null;
}

export interface WavesState {
  waves: Map<WaveId, WaveRow>;
  /** Why each wave got no permit when it last asked; to log changes alone. */
  lastRefusals: Map<WaveId, PermitRefusal | null>;
}
