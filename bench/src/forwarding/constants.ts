/** Settings of the forwarding benchmark. */
export const FORWARDING = {
  ROUNDS: 5,
  WARM_UP_MS: 2_000,
  ROUND_MS: 3_000,
  /** Number of concurrent requests while throughput is measured. */
  CONCURRENCY: 48,
  CONNECTIONS: 64,
  /** Number of threads that send requests. */
  LOAD_THREADS: 2,
  /** Request rate of the latency measurement, as a fraction of the entry host's throughput. */
  LATENCY_LOAD_FRACTION: 0.7,
  TARGETS: 4,
  SLOTS_PER_TARGET: 64,
  BODY_BYTES: 256,
} as const;

/** Bounds that the entry host is expected to meet, compared with the bare forwarder. */
export const FORWARDING_GOALS = {
  MIN_THROUGHPUT_RATIO: 0.6,
  MAX_ADDED_P50_MS: 1,
  MAX_ADDED_P99_MS: 5,
} as const;
