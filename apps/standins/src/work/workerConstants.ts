/** Bounds of the simulated workers; the node's settings in the soak name the same. */
export const WORKER_BOUND = {
  MAX_LEASE_MS: 6_000,
  LEASE_CHECK_MS: 20,
  STOP_MS: 200,
  DRAIN_MS: 2_000,
  /** After this time an order without an answer is carried out. */
  LATE_ORDER_MS: 3_000,
  /** Longest time for which a call to a worker that is out of reach is kept. */
  KEPT_CALL_MS: 30_000,
  MAX_LISTED_ENDS: 500,
  /** Time until a run fails on a worker that fails everything. */
  FAIL_AT_ONCE_MS: 50,
} as const;

/** How a run ended, as workers list it. */
export const RUN_END = {
  DONE: "done",
  FAILED: "failed",
  STOPPED: "stopped",
  LEASE_EXPIRED: "lapsed",
  /** Its worker crashed, so nobody lists the end. */
  CRASHED: "crashed",
} as const;
