/** The fleet of the demo: a small one with three availability zones and five services. */
export const DEMO_FLEET = {
  ZONES: ["a", "b", "c"],
  SERVICES: ["register", "dies", "certificates", "archive", "counter"],
  TARGETS_PER_SERVICE: 2,
  SLOTS: 8,
  ENTRY_HOSTS_PER_ZONE: 2,
  /** Requests of one team that wait at one entry host. */
  MAX_QUEUED: 8,
  TIMEOUT_MS: 5_000,
} as const;

/** The service whose pool fills up, and the target of it that is drained meanwhile. */
export const DEMO_SURGE = { SERVICE: "register", DRAINED_HOST: "register-a-1" } as const;

/** When things happen, counted from the first request. */
export const DEMO_TIMES = {
  SURGE_AT_MS: 7_000,
  SURGE_MS: 7_000,
  AFTER_MS: 10_000,
  DRAIN_AT_MS: 8_000,
  /** Start of the surge that is left out of the shares: queues fill. */
  FILL_MS: 1_000,
  START_BOUND_MS: 25_000,
  /** The drain, the reboot and the return, each. */
  STEP_BOUND_MS: 20_000,
  POLL_MS: 200,
  PROGRESS_MS: 2_000,
} as const;

/** Multiples of the mean rate. */
export const DEMO_RATE = { SURGE: 5, AFTER: 0.05 } as const;

export const DEMO_LOAD = {
  SEED: 7,
  /** Mean rate of each team to each service that does not surge. */
  BACKGROUND_PER_SECOND: 3,
  BACKGROUND_WORK_MS: 30,
  BODY_BYTES: 200,
  ANSWER_BYTES: 2_000,
} as const;

/** Teams with their shares; in the surge each asks for more than its share. */
export const DEMO_TEAMS = [
  { team: "bodega", share: 3, limit: 90, meanPerSecond: 20, workMs: 320 },
  { team: "cooperative", share: 2, limit: 90, meanPerSecond: 20, workMs: 400 },
  { team: "museum", share: 1, limit: 90, meanPerSecond: 10, workMs: 600 },
] as const;
