export const NODE_ROLE = {
  ENTRY: "entry",
  MAINTAINER: "maintainer",
  /** Serves submissions; every node may own the pools. */
  WORK: "work",
} as const;

/** How often daemons turn the clock of the reducer. */
export const CLOCK = {
  TICK_MS: 100,
} as const;
