/** Status of a maintenance wave. */
export const WAVE_STATUS = {
  RUNNING: "running",
  PAUSED: "paused",
  /** Too many hosts failed to come back from a reboot; the wave waits for an operator. */
  HALTED: "halted",
  DONE: "done",
} as const;

/** Time limits of a maintenance wave. */
export const WAVE = {
  /** How long a wave waits, without progress, for hosts that are absent unplanned. */
  MAX_ABSENT_WAIT_MS: 86_400_000,
} as const;
