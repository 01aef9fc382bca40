export const NODE_ROLE = {
  ENTRY: "entry",
  MAINTAINER: "maintainer",
  /** Serves submissions; any node of this role may become the owner. */
  WORK: "work",
} as const;

/** Interval at which daemons send clock ticks to the reducer. */
export const CLOCK = {
  TICK_MS: 100,
} as const;
