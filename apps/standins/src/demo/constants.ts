/** Fleet of the demo: three availability zones and five services. */
export const DEMO_FLEET = {
  ZONES: ["a", "b", "c"],
  SERVICES: ["register", "dies", "certificates", "archive", "counter"],
  TARGETS_PER_SERVICE: 2,
  SLOTS: 8,
  ENTRY_HOSTS_PER_ZONE: 2,
  /** Largest number of queued requests of one team on one entry host. */
  MAX_QUEUED: 8,
  TIMEOUT_MS: 5_000,
} as const;

/** Service with the load surge, and the target of it that is drained during the surge. */
export const DEMO_SURGE = { SERVICE: "register", DRAINED_HOST: "register-a-1" } as const;

/** Timeline of the demo, counted from its first request, and its timeouts and intervals. */
export const DEMO_TIMES = {
  SURGE_AT_MS: 7_000,
  SURGE_MS: 7_000,
  RECOVERY_MS: 10_000,
  DRAIN_AT_MS: 8_000,
  /** Start of the surge, while queues still fill; excluded from the measured shares. */
  QUEUE_FILL_MS: 1_000,
  START_TIMEOUT_MS: 25_000,
  /** Timeout of each step: the drain, and the return to service after the reboot. */
  STEP_TIMEOUT_MS: 20_000,
  POLL_INTERVAL_MS: 200,
  PROGRESS_INTERVAL_MS: 2_000,
} as const;

/** Request rates of the surging service, as multiples of its mean rate. */
export const DEMO_RATE_FACTOR = { SURGE: 5, RECOVERY: 0.05 } as const;

export const DEMO_LOAD = {
  SEED: 7,
  /** Mean rate of each team to each service without the surge. */
  BACKGROUND_PER_SECOND: 3,
  BACKGROUND_WORK_MS: 30,
  BODY_BYTES: 200,
  ANSWER_BYTES: 2_000,
} as const;

/** Teams and their shares; during the surge each team requests more than its share. */
export const DEMO_TEAMS = [
  { team: "bodega", share: 3, limit: 90, meanPerSecond: 20, workMs: 320 },
  { team: "cooperative", share: 2, limit: 90, meanPerSecond: 20, workMs: 400 },
  { team: "museum", share: 1, limit: 90, meanPerSecond: 10, workMs: 600 },
] as const;
