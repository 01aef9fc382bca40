import type { ValueOf } from "../valueOf.js";

/** Decides which log lines are dropped first when the output limit is reached. */
export const LOG_CLASS = {
  /** Needed to explain an incident; limited by a separate budget. */
  KEPT: "kept",
  /** Dropped first. */
  ROUTINE: "routine",
} as const;

export type LogClass = ValueOf<typeof LOG_CLASS>;
