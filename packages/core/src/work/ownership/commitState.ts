import type { Commit } from "../events.js";
import type { EvacuationRecord } from "../evacuation/index.js";
import type { HostOrder, MaintenanceWave } from "../hosts/hostState.js";
import type { Run, Submission } from "../submissions/itemState.js";
import type { LeasedWorker, SubmissionId, SubmissionState, WorkerId } from "../types.js";
import type { Worker } from "../workers/workerState.js";

/** A commit by which the owner renews its row and persists its changes. */
export interface OwnerCommit {
  readonly commit: Commit;
  /** Submissions that it records, each with the state that becomes durable with it. */
  readonly submissions: readonly {
    readonly submission: Submission;
    reportedState: SubmissionState;
  }[];
  /** Up to which run end each worker may be acknowledged afterwards. */
  readonly ends: readonly { readonly worker: Worker; readonly sequence: number }[];
  readonly releases: boolean;
  /** Term that its owner row grants the owner. */
  readonly termMs: number;
  /** Runs whose start orders may be sent afterwards. */
  readonly starts: readonly Run[];
  readonly orders: readonly HostOrder[];
  readonly changes: CommitChanges;
}

/** What a commit records beside the owner row, so that it can be recorded again. */
export interface CommitChanges {
  readonly submissions: readonly Submission[];
  /** Workers whose lease rows it changes, with those rows before; null if there was none. */
  readonly previousLeases: ReadonlyMap<WorkerId, LeasedWorker | null>;
  readonly waves: readonly MaintenanceWave[];
  readonly evacuations: readonly EvacuationRecord[];
  /** Purged submissions whose progress rows it deletes. */
  readonly purged: readonly SubmissionId[];
  /** Whether it writes the row of the learned run times. */
  readonly runTimes: boolean;
}
