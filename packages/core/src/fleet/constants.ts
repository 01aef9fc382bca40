export const HOST_PHASE = {
  IN_SERVICE: "inService",
  /** Gets no new work; what runs there finishes. */
  LEAVING: "leaving",
  /** Nothing runs there: it may be stopped or is being rebooted. */
  STOPPED: "stopped",
} as const;

export const DRAIN_REASON = {
  OPERATOR: "operator",
  WAVE: "wave",
  MOVE: "move",
} as const;
