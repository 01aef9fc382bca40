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

/** Rows read from the store in one consistent view. */
export interface StoreView {
  readonly rows: readonly StoreRow[];
  readonly version: StoreVersion;
  /** Time on the store's monotonic clock at the read; null if the store did not report it. */
  readonly storeMs: number | null;
}

/** Changes to the rows of one feed. */
export interface FeedView extends StoreView {
  /** Whether the store no longer keeps the requested changes, so the table must be read in full. */
  readonly historyLost: boolean;
}

/** Result of a transaction. */
export interface CommitOutcome {
  readonly result: CommitResult;
  readonly version: StoreVersion | null;
  readonly rows: readonly StoreRow[];
  readonly reason: string | null;
}

/** The stored rows of one submission. */
export interface LookUpView {
  readonly stored: { readonly row: SubmissionRow; readonly version: StoreVersion } | null;
  readonly cancelled: boolean;
  readonly progress: Progress | null;
}

/** The store that holds all durable state. */
export abstract class WorkStore {
  /**
   * Reads all rows of a scan.
   *
   * @param scan - What to read.
   * @returns The rows, and the store's version and clock at the start of the read.
   * @throws PlatformError if the store does not answer.
   */
  abstract scan(scan: Scan): Promise<StoreView>;

  /**
   * Waits for changes to the rows of a feed and returns them.
   *
   * @param feed - The feed to follow.
   * @param after - Version after which changes are requested.
   * @param waitMs - Maximum time to wait for a change.
   * @throws PlatformError if the store does not answer.
   */
  abstract feed(feed: Feed, after: StoreVersion, waitMs: number): Promise<FeedView>;

  /** Commits one transaction. Never throws: the outcome says what went wrong. */
  abstract commit(commit: Commit): Promise<CommitOutcome>;

  /**
   * Reads the stored rows of one submission.
   *
   * @throws PlatformError if the store does not answer.
   */
  abstract lookUp(id: SubmissionId): Promise<LookUpView>;

  abstract close(): Promise<void>;
}
