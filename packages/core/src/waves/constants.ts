export const WAVE_STATUS = {
  RUNNING: "running",
  PAUSED: "paused",
  /** Too many hosts failed to come back: waits for an operator. */
  HALTED: "halted",
  DONE: "done",
} as const;
