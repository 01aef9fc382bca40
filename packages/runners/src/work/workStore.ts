import type {
  Commit,
  CommitResult,
  Feed,
  SubmissionRow,
  Progress,
  Scan,
  StoreRow,
  StoreVersion,
  SubmissionId,
} from "@heatherferry/core";

export interface StoreView {
  readonly rows: readonly StoreRow[];
  readonly version: StoreVersion;
  /** The store's steady clock at the read; null where it did not tell. */
  readonly storeMs: number | null;
}

export interface FeedView extends StoreView {
  /** The changes that were asked for are no longer kept; the table has to be read anew. */
  readonly historyLost: boolean;
}

export interface CommitOutcome {
  readonly result: CommitResult;
  readonly version: StoreVersion | null;
  readonly rows: readonly StoreRow[];
  readonly reason: string | null;
}

export interface LookUpView {
  readonly stored: { readonly row: SubmissionRow; readonly version: StoreVersion } | null;
  readonly cancelled: boolean;
  readonly progress: Progress | null;
}

/** The store that all that lasts lies in. */
export abstract class WorkStore {
  /**
   * @param scan - What to read whole.
   * @returns Its rows, and the store's version and clock when the read began.
   * @throws PlatformError when the store does not answer.
   */
  abstract scan(scan: Scan): Promise<StoreView>;

  /**
   * @param feed - What to follow.
   * @param after - Changes after this version are wanted.
   * @param waitMs - Longest wait for a change.
   * @throws PlatformError when the store does not answer.
   */
  abstract feed(feed: Feed, after: StoreVersion, waitMs: number): Promise<FeedView>;

  /** @returns How one transaction ended; never throws. */
  abstract commit(commit: Commit): Promise<CommitOutcome>;

  /** @throws PlatformError when the store does not answer. */
  abstract lookUp(id: SubmissionId): Promise<LookUpView>;

  abstract close(): Promise<void>;
}
