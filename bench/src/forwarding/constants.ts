/** What the forwarding benchmark does. */
export const FORWARDING = {
  ROUNDS: 5,
  WARM_UP_MS: 2_000,
  ROUND_MS: 3_000,
  /** Requests under way at once while throughput is measured. */
  CONCURRENCY: 48,
  CONNECTIONS: 64,
  /** Threads that send. */
  LOAD_WORKERS: 2,
  /** Part of the entry host's throughput at which latency is measured. */
  LATENCY_LOAD: 0.7,
  TARGETS: 4,
  SLOTS_PER_TARGET: 64,
  BODY_BYTES: 256,
} as const;

/** What the benchmark is held to. */
export const FORWARDING_TARGET = {
  MIN_THROUGHPUT_RATIO: 0.6,
  MAX_ADDED_P50_MS: 1,
  MAX_ADDED_P99_MS: 5,
} as const;
