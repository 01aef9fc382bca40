export const WAVE_STATUS = {
  RUNNING: "running",
  PAUSED: "paused",
  /** Too many hosts failed to come back: waits for an operator. */
  HALTED: "halted",
  DONE: "done",
} as const;

export const WAVE = {
  /** A wave waits this long without progress for hosts that are down of themselves. */
  DOWN_WAIT_MS: 86_400_000,
} as const;
