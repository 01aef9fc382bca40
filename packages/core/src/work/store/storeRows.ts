import type { AvailabilityZoneId, HostId } from "@heatherferry/common";
import type { EvacuationReport } from "../evacuation/index.js";
import type { RunTimesRow } from "../estimates/index.js";
import type {
  Catalog,
  SubmissionRow,
  LeasedWorker,
  OwnerRow,
  Progress,
  StoreVersion,
  SubmissionId,
  WaveRequest,
  WorkerId,
  WorkerReport,
} from "../types.js";

/** A worker and what may run on it. */
export interface WorkerLease {
  readonly worker: WorkerId;
  readonly lease: LeasedWorker;
}

/** A decoded row of the store. Rows that cannot be decoded are dropped before. */
export type StoreRow =
  | { readonly type: "catalog"; readonly version: StoreVersion; readonly catalog: Catalog }
  | { readonly type: "wave"; readonly version: StoreVersion; readonly request: WaveRequest }
  | {
      readonly type: "evacuation" | "evacuationRemoved";
      readonly version: StoreVersion;
      readonly zone: AvailabilityZoneId;
    }
  | {
      readonly type: "evacuationReport";
      readonly version: StoreVersion;
      readonly report: EvacuationReport;
    }
  | { readonly type: "worker"; readonly version: StoreVersion; readonly report: WorkerReport }
  | { readonly type: "workerGone"; readonly version: StoreVersion; readonly id: WorkerId }
  | { readonly type: "handIn"; readonly version: StoreVersion; readonly submission: SubmissionRow }
  | { readonly type: "cancel"; readonly version: StoreVersion; readonly id: SubmissionId }
  | { readonly type: "progress"; readonly version: StoreVersion; readonly progress: Progress }
  | { readonly type: "owner"; readonly version: StoreVersion; readonly owner: OwnerRow }
  | { readonly type: "runTimes"; readonly version: StoreVersion; readonly row: RunTimesRow }
  | ({ readonly type: "lease"; readonly version: StoreVersion } & WorkerLease)
  | {
      readonly type: "waveReport";
      readonly version: StoreVersion;
      readonly wave: number;
      readonly completed: boolean;
      readonly seenWallMs: number;
      readonly doneHosts: readonly HostId[];
    };

/** A row to write; its content determines its key. */
export type RowToWrite =
  | { readonly type: "evacuationReport"; readonly report: EvacuationReport }
  | { readonly type: "handIn"; readonly submission: SubmissionRow }
  | { readonly type: "cancel"; readonly id: SubmissionId }
  | { readonly type: "progress"; readonly progress: Progress }
  | { readonly type: "owner"; readonly owner: OwnerRow }
  | { readonly type: "runTimes"; readonly row: RunTimesRow }
  | ({ readonly type: "lease" } & WorkerLease)
  | {
      readonly type: "waveReport";
      readonly wave: number;
      readonly completed: boolean;
      readonly seenWallMs: number;
      readonly doneHosts: readonly HostId[];
    };

/** The key of a row. */
export type RowName =
  | { readonly type: "handIn" | "cancel" | "progress"; readonly id: SubmissionId }
  | { readonly type: "lease"; readonly worker: WorkerId }
  | { readonly type: "owner" };

/** Requires that a row is still at a version; 0 requires that the row does not exist. */
export interface CommitCondition {
  readonly row: RowName;
  readonly version: StoreVersion;
}

/** One transaction: it takes effect only if all its conditions hold. */
export interface Commit {
  readonly commitId: string;
  readonly conditions: readonly CommitCondition[];
  readonly writes: readonly RowToWrite[];
  readonly removes: readonly RowName[];
}
