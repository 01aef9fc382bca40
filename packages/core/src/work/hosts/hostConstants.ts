/** Limits on how hosts are allocated to pools. */
export const HOST_ALLOCATION = {
  /** Workers that a pool always keeps. */
  MIN_WORKERS_PER_POOL: 2,
  /** A worker that has not answered this long after its registration counts as gone. */
  FIRST_ANSWER_TIMEOUT_MS: 600,
  /** A worker idle for this long may move to a pool with waiting work. */
  MIN_IDLE_FOR_MOVE_MS: 200,
  /** A worker idle for this long moves to the standby pool, where its host is off. */
  MIN_IDLE_FOR_STANDBY_MS: 1_200,
  /** Target time for finishing the waiting work of a pool. */
  BACKLOG_TARGET_MS: 800,
  /** Target time for finishing expired work, which is so late that it has no value left. */
  EXPIRED_BACKLOG_TARGET_MS: 8_000,
  /** A host that has not drained within this time stays in its pool. */
  DRAIN_TIMEOUT_MS: 4_000,
  /** Time constant of the average arrival rate. */
  ARRIVAL_RATE_WINDOW_MS: 1_500,
  /** Windows in which a surge of arrivals is detected. */
  SURGE_WINDOWS_MS: [150, 300, 600],
  /** Standard errors subtracted from a surge, since submissions may coincide by chance. */
  SURGE_STANDARD_ERRORS: 1,
  /** Interval between log lines on the demand of pools. */
  DEMAND_LOG_INTERVAL_MS: 1_000,
  /** Headroom over busy hosts, since items of mixed sizes do not fill a worker. */
  HEADROOM_FACTOR: 1.15,
  /** Assumed capacity of a host in a pool without workers. */
  DEFAULT_HOST_CAPACITY: { cpuMilli: 16_000, memoryMb: 65_536, gpus: 0 },
} as const;

/** Time that a maintenance wave plans for its phases. */
export const WAVE_TIMING = {
  /** Time for work on a worker to end before maintenance. */
  DRAIN_MS: 4_000,
  /** Time to evict the long-running items of a step, which releases one item at a time. */
  LONG_RUNNING_EVICTION_MS: 10_000,
  /** Safety margin before the deadline of a wave. */
  DEADLINE_MARGIN_MS: 3_000,
} as const;

/** Intervals and timeouts of host orders and host lists. */
export const HOST_TIMING = {
  /** Interval between host lists while a wave is in progress. */
  WAVE_LIST_INTERVAL_MS: 1_000,
  /** Interval between host lists otherwise. */
  IDLE_LIST_INTERVAL_MS: 4_000,
  /** Least time between two orders to one host. */
  ORDER_RETRY_INTERVAL_MS: 700,
  /** A host missing from all host lists for this long has been removed permanently. */
  MISSING_TIMEOUT_MS: 5_000,
  /** After this long an accepted order counts as carried out even without a new worker. */
  RETURN_TIMEOUT_MS: 8_000,
  /** A worker that has not answered this long after its registration is not what its host runs. */
  FIRST_ANSWER_OVERDUE_MS: 3_000,
  /** A worker listed this long after the planned end of maintenance was not affected by it. */
  UNCHANGED_WORKER_TIMEOUT_MS: 1_500,
  /** A sent order is carried out within this time or never, as its connection is then reset. */
  ORDER_LIFETIME_MS: 3_000,
  /** Added to the time in which two owners must not order the same host. */
  EXCLUSIVITY_MARGIN_MS: 300,
} as const;
