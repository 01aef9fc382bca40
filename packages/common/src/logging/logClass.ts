import type { ValueOf } from "../valueOf.js";

/** How much a log line matters when there are more lines than may be written. */
export const LOG_CLASS = {
  /** Needed to explain an incident: it has a budget of its own. */
  KEPT: "kept",
  /** Dropped first. */
  ROUTINE: "routine",
} as const;

export type LogClass = ValueOf<typeof LOG_CLASS>;
