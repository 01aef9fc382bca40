/** Paths of a target's own controls; all other paths are work. */
export const TARGET_CONTROL_PATH = {
  RUNS: "/control/runs",
  BEHAVIOUR: "/control/behaviour",
  SILENCE: "/control/silence",
  REBOOT: "/control/reboot",
  /** Of a whole fleet, on its own port. */
  HOSTS: "/control/hosts",
} as const;

/** Headers by which the load tells a target what to do, and checks the answer. */
export const WORK_HEADER = {
  TAG: "x-request-tag",
  WORK_MS: "x-work-ms",
  WORK_JITTER_MS: "x-work-jitter-ms",
  ANSWER_BYTES: "x-answer-bytes",
  NOT_RUN: "heatherferry-not-run",
} as const;

/** Value of `heatherferry-not-run` when all slots are taken. */
export const NOT_RUN_FULL = "full";

export const TARGET_BEHAVIOUR = {
  NORMAL: "normal",
  /** Answers 500 to all, at once. */
  FAILING: "failing",
  /** Takes many times the work time. */
  SLOW: "slow",
  /** Takes a request and never answers. */
  SILENT: "silent",
  /** Announces a longer body than it sends. */
  TRUNCATING: "truncating",
  /** Sends bytes that are not HTTP. */
  NONSENSE: "nonsense",
  /** Cuts the connection in the middle of the answer. */
  RESETTING: "resetting",
  /** Answers long after the work was due. */
  LATE: "late",
} as const;

export const TARGET = {
  DEFAULT_SLOTS: 8,
  DEFAULT_WORK_MS: 20,
  DEFAULT_ANSWER_BYTES: 256,
  MAX_ANSWER_BYTES: 1_048_576,
  SLOW_FACTOR: 10,
  LATE_MS: 10_000,
  REBOOT_MS: 500,
  DEFAULT_SEED: 1,
} as const;
