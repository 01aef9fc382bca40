/** Paths of the control interface of the platform stand-in. */
export const CONTROL_PATH = {
  FAULTS: "/control/faults",
  HOSTS: "/control/hosts",
  COUNTERS: "/control/counters",
} as const;

/** Defaults and limits of the platform stand-in. */
export const PLATFORM_STAND_IN = {
  DEFAULT_SEED: 1,
  /** Number of host lists kept, to answer with an outdated one when `listLagMs` is set. */
  MAX_HOST_SNAPSHOTS: 256,
  /** The commit log is compacted when it exceeds twice the number of rows by this many entries. */
  LOG_COMPACTION_SLACK: 4_096,
} as const;
