import type { CallArrival, Commit } from "./events.js";
import type { HandIn, SubmissionId } from "./types.js";

/** A caller's call without an answer yet. */
export interface OpenCall {
  readonly arrival: CallArrival;
  readonly answerByMs: number;
  readonly id: SubmissionId | null;
  readonly handIn: HandIn | null;
  commit: Commit | null;
  /** A write of this call had no answer, so it may take effect later. */
  uncertain: boolean;
  retryAtMs: number | null;
}
