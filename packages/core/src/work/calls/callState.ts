import type { CallArrival, Commit } from "../events.js";
import type { Refusal } from "./refusals.js";
import type { SubmissionRow, SubmissionId } from "../types.js";

/** A call that has not been answered yet. */
export interface OpenCall {
  readonly arrival: CallArrival;
  /** Deadline for the answer, on the node's monotonic clock. */
  readonly answerByMs: number;
  readonly id: SubmissionId | null;
  /** Row that a submit call stores; null for other calls. */
  readonly row: SubmissionRow | null;
  /** Whether the write stores the cancel of a submission that is not stored itself. */
  cancelsUnstored: boolean;
  /** Why the submission is refused unless the store holds it already; null if it is not. */
  refusal: Refusal | null;
  /** Write that the call waits for. */
  commit: Commit | null;
  /** Whether a write of this call was not answered and may still take effect. */
  uncertain: boolean;
  /** When the write is sent again; null while its answer is pending. */
  retryAtMs: number | null;
}
