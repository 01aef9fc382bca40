/** Paths of the stand-in's own controls. */
export const CONTROL_PATH = {
  FAULTS: "/control/faults",
  HOSTS: "/control/hosts",
  COUNTERS: "/control/counters",
} as const;

/** Bounds on what the platform keeps. */
export const PLATFORM_STAND_IN = {
  DEFAULT_SEED: 1,
  /** Host lists kept to answer with one of the past. */
  KEPT_HOST_LISTS: 256,
  /** The log of commits is compacted once it is longer than the rows by this many entries. */
  LOG_SLACK: 4_096,
} as const;
