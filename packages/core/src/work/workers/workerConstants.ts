export const LEASE = {
  /** Longest lease that is granted. */
  TERM_MS: 4_000,
  /** Long-poll timeout of a worker poll. */
  POLL_WAIT_MS: 1_000,
  /** Minimum interval between two polls of a worker. */
  POLL_GAP_MS: 100,
  /** Longest interval between polls, used while the owner lags: each then returns more ends. */
  MAX_POLL_GAP_MS: 250,
  /** Milliseconds added to the interval per millisecond of lag of the owner. */
  POLL_GAP_LAG_FACTOR: 1,
  POLL_RETRY_MS: 300,
  /** A poll extends the lease only this soon after an answer: a restarted worker is silent. */
  EXTEND_WITHIN_MS: 1_000,
  /** Run ends are acknowledged only this soon after an answer: a restart renumbers them. */
  ACKNOWLEDGE_WITHIN_MS: 300,
  /** Replaces ACKNOWLEDGE_WITHIN_MS after a poll that only checked the worker's incarnation. */
  ACKNOWLEDGE_AFTER_PROBE_MS: 600,
  /** A worker whose answer is this much overdue counts as unresponsive. */
  UNRESPONSIVE_MARGIN_MS: 300,
  /** Slowest rate of a worker's clock; a lease may last longer by its inverse. */
  MIN_CLOCK_RATE: 0.98,
  /** A worker whose clock was last read longer ago is polled before it gets work. */
  MAX_CLOCK_AGE_MS: 20_000,
  END_MARGIN_MS: 100,
  /** Long-running items stop this long before a worker exits, or their end is noticed late. */
  EVICT_BEFORE_EXIT_MS: 1_000,
  /** Margin on top of the time that a stop may take. */
  STOP_MARGIN_MS: 200,
} as const;

export const ORDER = {
  /** Delay before a worker that refused work gets new work. */
  REFUSAL_PAUSE_MS: 1_000,
  /** An unanswered stop is retried after this time. */
  STOP_RETRY_MS: 700,
  /** Start orders for a run before it is abandoned and stopped. */
  MAX_START_ATTEMPTS: 3,
  /** An unanswered order may still be carried out this long after it was sent. */
  MAX_DELAY_MS: 6_000,
} as const;

export const ABANDONED_RUNS = {
  /** Most runs that one log line lists. */
  MAX_LISTED: 5,
} as const;

export const HEALTH = {
  /** Failures without a success in between after which a worker is suspended. */
  MAX_FAILURES: 3,
  /** A failure counts for this long; long-running work ends in no success that would clear it. */
  SUSPICION_MS: 10_000,
  /** Most workers of a pool that are suspended at once. */
  MAX_SUSPENDED_SHARE: 0.5,
  SUSPEND_MS: 4_000,
  /** A run without progress for this long is restarted on another worker. */
  STALL_MS: 2_500,
  /** The same as a share of the item's estimate, if that is longer. */
  STALL_SHARE_OF_ESTIMATE: 0.1,
} as const;

export const PACING = {
  /** Filler runs are slowed down once a tail latency reaches this share of its target. */
  SLOW_DOWN_SHARE: 0.85,
  /** Filler runs may be sped up again while all tail latencies are below this share. */
  SPEED_UP_SHARE: 0.6,
  /** How long tail latencies must stay below SPEED_UP_SHARE before each step up. */
  SPEED_UP_AFTER_MS: 2_000,
  STEP_PERCENT: 25,
  /** Placeholder for a pace that was not confirmed; counts as neither stopped nor full pace. */
  UNCONFIRMED_PERCENT: 1,
} as const;
