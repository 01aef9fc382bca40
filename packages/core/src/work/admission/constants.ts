export const ADMISSION = {
  /** The owner recomputes its figures at this interval while work waits. */
  COMPUTE_INTERVAL_MS: 500,
  /** Nodes accept everything on older figures. */
  MAX_AGE_MS: 2_000,
  /** Refused submissions that a row tells of, and that a node keeps to tell of. */
  MAX_REFUSED_PER_ROW: 64,
  MAX_REFUSED_PER_NODE: 1_024,
  /** Refused submissions that the owner remembers. */
  MAX_REFUSED: 8_192,
  /** Most pools, lines in a pool and lines in all that the figures name. All nodes read them often. */
  MAX_POOLS: 6,
  MAX_LINES_PER_RESOURCE: 4,
  MAX_LINES: 18,
  /** Most teams beyond their rate that they name. */
  MAX_TEAMS_BEYOND_RATE: 16,
  /** Submissions of a pool that a forecast looks at; it takes the others for absent. */
  MAX_ENTRIES: 2_048,
  /** Shorter waits refuse nobody and are not published. */
  MIN_PUBLISHED_WAIT_MS: 2_000,
  /** Deadlines for which the wait behind a line is published. */
  POINTS_PER_LINE: 6,
} as const;

export const ROOM = {
  /** A pool may get through this much more work than its capacity suggests. */
  MARGIN: 1.2,
  /** Callers that return when they were told to may face a wait that is longer by this factor. */
  RETURN_FACTOR: 1.25,
  /** Least share of the room that work beyond the rates of teams is assumed to get. */
  MIN_SHARE: 0.05,
  /** Time constant of the averages of arriving work and of run times. */
  AVERAGING_MS: 5_000,
  /** The same for the rates at which teams submit. */
  RATE_AVERAGING_MS: 2_000,
  /** Teams may submit this much faster than their rate before a long line refuses any of it. */
  RATE_SLACK: 1.25,
} as const;

export const RETURN = {
  /** Callers return in slots of this length, each in every SLOTS-th one. */
  SLOT_MS: 1_000,
  SLOTS: 4,
  /** Callers may be this late for their slot. */
  SLOT_GRACE_MS: 300,
  /** Time that the answer and the next call take on their way. */
  TRANSFER_MS: 50,
  MIN_MS: 1_000,
  MAX_MS: 60_000,
} as const;

export const STORE_OUTAGE = {
  /** Least silence of the store after which a node takes it for unreachable. */
  MIN_SILENCE_MS: 700,
  /** Multiple of the longest recent answer time that the store may be late by. */
  SLOWDOWN: 3,
  /** Weight of the previous longest answer time when an answer comes sooner. */
  DECAY: 0.9,
  /** An outage is over once no call was refused for this long. */
  OVER_AFTER_MS: 10_000,
  MIN_RETURN_MS: 500,
  MAX_RETURN_MS: 8_000,
  /** Returns that follow one another are this far apart, so that they come as a stream. */
  RETURN_GAP_MS: 20,
  /** Span over which nodes that refuse at the same time spread the returns. */
  JITTER_MS: 1_000,
} as const;

/** Standing of waiting work; lower ones get capacity first. */
export const STANDING = {
  IN_TIME: 0,
  LATE: 1,
  /** Submitted beyond its team's rate. */
  OVER_RATE: 2,
} as const;

export const REFUSAL_LOG = {
  /** Most log lines per interval; the next line tells how many were left out. */
  MAX_LINES: 20,
  INTERVAL_MS: 1_000,
} as const;

export const REFUSAL_REASON = {
  /** Beyond its team's rate, and the line is too long for it to be done in time. */
  OVERLOAD: "overload",
  /** The store does not answer or refuses writes, or the node's view is too old. */
  UNAVAILABLE: "unavailable",
  /** The owner has no memory for it. */
  MEMORY: "memory",
} as const;

export const ADMISSION_RESULT = {
  ADMIT: "admit",
  REFUSE: "refuse",
} as const;
