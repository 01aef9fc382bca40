/** Paths of the control interface of a target; requests to all other paths are work. */
export const TARGET_CONTROL_PATH = {
  RUNS: "/control/runs",
  BEHAVIOUR: "/control/behaviour",
  SILENCE: "/control/silence",
  REBOOT: "/control/reboot",
  /** Only on the control port of a fleet. */
  HOSTS: "/control/hosts",
} as const;

/** Headers that tell a target how to treat a request, and those of its answer. */
export const WORK_HEADER = {
  TAG: "x-request-tag",
  WORK_MS: "x-work-ms",
  WORK_JITTER_MS: "x-work-jitter-ms",
  ANSWER_BYTES: "x-answer-bytes",
  NOT_RUN: "heatherferry-not-run",
} as const;

/** Value of `heatherferry-not-run` if all slots are in use. */
export const NOT_RUN_FULL = "full";

/** Behaviours of a target, as set by `PUT /control/behaviour`. */
export const TARGET_BEHAVIOUR = {
  NORMAL: "normal",
  /** Answers every request with 500, without delay. */
  FAILING: "failing",
  /** Takes `TARGET.SLOW_FACTOR` times the requested work time. */
  SLOW: "slow",
  /** Accepts requests and never answers them. */
  SILENT: "silent",
  /** Sends a body that is shorter than its `content-length`, then closes the connection. */
  TRUNCATING: "truncating",
  /** Sends bytes that are not HTTP. */
  INVALID_HTTP: "nonsense",
  /** Resets the connection in the middle of the answer. */
  RESETTING: "resetting",
  /** Answers `TARGET.LATE_MS` after the end of the work. */
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
