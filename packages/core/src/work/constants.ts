export { END_KIND, INCARNATION_RELATION, START_RESULT } from "./workers/workerResults.js";
export { HELD } from "./submissions/heldConstants.js";
export { ITEM_WINDOW, LEASE_ROW, PROGRESS, SUBMISSION_LIMIT } from "./store/rowBounds.js";
export { HOST_TIMING, HOST_ALLOCATION, WAVE_TIMING } from "./hosts/hostConstants.js";
export { ABANDONED_RUNS, HEALTH, LEASE, ORDER, PACING } from "./workers/workerConstants.js";

/** Tables that this system keeps in the platform's store. */
export const WORK_TABLE = {
  /** Submissions and their cancels. Any node writes them, each row once. */
  SUBMISSIONS: "heatherferry-hand-ins",
  /** Progress of submissions. Only the owner writes it. */
  PROGRESS: "heatherferry-progress",
  /** The row that identifies the owner. */
  OWNER: "heatherferry-owner",
  /** Lease rows: what may run on each worker. Only the owner writes them. */
  LEASES: "heatherferry-leases",
} as const;

/** Key of the owner's row; one owner schedules all pools. */
export const OWNER_KEY = "all-pools";

export const SUBMISSION_STATE = {
  QUEUED: "queued",
  RUNNING: "running",
  COMPLETED: "completed",
  FAILED: "failed",
  CANCELLED: "cancelled",
} as const;

export const CALL_KIND = {
  SUBMIT: "submit",
  STATE: "state",
  CANCEL: "cancel",
  PENDING: "pending",
  UNSUPPORTED: "unsupported",
} as const;

/** Why a body that a call needs was not read to its end. */
export const UNREAD_BODY = {
  /** The bodies of other calls take all the memory that is meant for bodies. */
  NO_ROOM: "noRoom",
  TOO_SLOW: "tooSlow",
} as const;

export const ANSWER_KIND = {
  ACCEPTED: "accepted",
  STATE: "state",
  PENDING: "pending",
  CANCELLED: "cancelled",
  GONE: "gone",
  NO_SUCH_QUEUE: "noSuchQueue",
  NOT_AUTHORISED: "notAuthorised",
  BAD_REQUEST: "badRequest",
  TOO_LARGE: "tooLarge",
  CONFLICT: "conflict",
  /** Nothing was stored; the caller may retry. */
  UNAVAILABLE: "unavailable",
  /** The write may or may not have taken effect. */
  UNKNOWN: "unknown",
} as const;

export const COMMIT_RESULT = {
  COMMITTED: "committed",
  CONFLICTED: "conflicted",
  /** The store rejected the write without applying it. */
  REFUSED: "refused",
  /** The store will never accept the write as it is. */
  REJECTED: "rejected",
  /** No answer: the write may have taken effect or may still do so. */
  UNANSWERED: "unanswered",
} as const;

export const FEED = {
  OPERATORS: "operators",
  WORKERS: "workers",
  SUBMISSIONS: "handIns",
} as const;

export const SCAN = {
  ...FEED,
  PROGRESS: "progress",
  OWNER: "owner",
  LEASES: "leases",
} as const;

export const RUN_PHASE = {
  /** Its capacity is reserved; the order waits for the lease row that records the run. */
  PLANNED: "planned",
  /** The start order was sent and is not answered yet. */
  ORDERED: "ordered",
  RUNNING: "running",
  STOPPING: "stopping",
} as const;

export const ITEM_PHASE = {
  /** Steps that it depends on are not done, or it is not due yet. */
  BLOCKED: "blocked",
  READY: "ready",
  PLACED: "placed",
  DONE: "done",
} as const;

export const HOST_ORDER_RESULT = {
  ACCEPTED: "accepted",
  BUSY: "busy",
  REFUSED: "refused",
  FENCED: "fenced",
  UNANSWERED: "unanswered",
} as const;

/** What a worker is reserved for. */
export const RESERVATION = {
  MOVE: "move",
  MAINTENANCE: "upkeep",
  /** Its host moves to another pool once all runs on it have ended. */
  DRAIN: "drain",
} as const;

export const OWNERSHIP = {
  /** Interval at which other nodes poll the owner's row. */
  POLL_MS: 200,
  /** The owner renews its row at least this often. */
  RENEW_MS: 200,
  /** Longest term of an owner: without a confirmed write for this long, it sends no orders. */
  CONFIRMED_MS: 1_100,
  /** Shortest term of an owner; time for two renewals, of which the first one gets no answer. */
  MIN_CONFIRMED_MS: 600,
  /** The term as a multiple of the longest recent age of a confirmation. */
  TERM_PER_RENEWAL_AGE: 2,
  /** Time after which the age of a confirmation counts 1 / e. */
  RENEWAL_AGE_FADE_MS: 10_000,
  /** A row unchanged for its term and this long may be claimed. */
  TAKEOVER_MARGIN_MS: 400,
  /** Largest jitter of claims, so that not all nodes write at once. */
  CLAIM_JITTER_MS: 150,
  /** Delay of the very first claim, times (1 / cores - 1) on a node with less than a core. */
  FIRST_CLAIM_DELAY_MS: 200,
  /** A node with less than this share of the strongest owner's processor is underpowered. */
  MIN_PROCESSOR_SHARE: 0.75,
  /**
   * Additional claim delay of an underpowered node, so that stronger nodes claim first, also those
   * that are just restarting: an underpowered owner has to hand over again.
   */
  UNDERPOWERED_CLAIM_DELAY_MS: 900,
  /** An underpowered owner yields after this time, which doubles with each yield in a row. */
  YIELD_AFTER_MS: 2_000,
  MAX_YIELD_AFTER_MS: 16_000,
  /** An owner that has yielded does not claim again for this long. */
  YIELD_BACKOFF_MS: 1_500,
  /** A node that failed to handle an event does not claim for this long. */
  FAILURE_BACKOFF_MS: 3_000,
} as const;

export const STORE = {
  /** Long-poll timeout of a feed request. */
  FEED_WAIT_MS: 1_000,
  /** Delay from an answer of a feed to the next request, which batches the changes in between. */
  FEED_GAP_MS: { operators: 0, workers: 100, handIns: 15 },
  FEED_RETRY_MS: 200,
  SCAN_RETRY_MS: 200,
  /** A node regards the store as lost after this long without an answer. */
  LOST_MS: 1_300,
  /** Delay before a failed write is retried. */
  COMMIT_RETRY_MS: 100,
  /** Most conditions, written and removed rows in one transaction. */
  MAX_ENTRIES: 100,
  /** Size limit of a transaction, 1 MB, less a margin. */
  MAX_COMMIT_BYTES: 900_000,
  /** Size of an entry beside its value: table, part, key and their names. */
  ENTRY_OVERHEAD_BYTES: 400,
  /** The row of a wave or an evacuation, and the report on it that the operators read. */
  ENTRIES_PER_REPORT: 2,
  /** Most rows that an owner commit changes beside the owner row. */
  MAX_ROWS: 90,
  /** Most lease rows of workers with new work among them; the rest is left for run ends. */
  MAX_START_ROWS: 50,
  /** Part of a transaction that lease rows of workers with new work may take. */
  MAX_START_BYTES: 450_000,
  /** Most runs waiting for a lease row; more starts at once would delay polls and renewals. */
  MAX_PLANNED_STARTS: 96,
  /** Most runs on a worker; its lease row, which lists them all, is limited to 65,536 bytes. */
  MAX_RUNS_PER_WORKER: 1_000,
  /** Minimum interval between two owner commits, which batches the changes in between. */
  OWNER_COMMIT_GAP_MS: 20,
} as const;

export const CATALOG_VIEW = {
  /** API keys are accepted until the age of the view is this close to the revocation bound. */
  MARGIN_BEFORE_REVOKE_MS: 1_000,
  /** A node with an older catalog view reports that it is not ready. */
  MAX_READY_AGE_MS: 2_500,
} as const;

export const PENDING_COUNT = {
  /** Callers are not given older counts. */
  MAX_AGE_MS: 2_000,
} as const;

export const CALL = {
  /** Part of the timeout of a caller that is reserved for the transfer of the answer. */
  ANSWER_MARGIN_MS: 200,
  DEFAULT_WAIT_MS: 3_000,
  /** Part of a caller's path that is logged or returned. */
  MAX_QUOTED_PATH_CHARS: 200,
} as const;

export const CLOCK_TICK = {
  /** Minimum interval between two checks of everything that is time-based. */
  MIN_GAP_MS: 40,
  /** Most worker polls that one tick sends. */
  MAX_POLLS: 32,
  /** Delay before a tick continues what the previous one left undone. */
  CONTINUE_MS: 1,
  /** Work that falls due within this time is handled in one tick. */
  COALESCE_MS: 8,
  /** Delay before work that needs confirmed ownership is checked again. */
  UNCONFIRMED_RECHECK_MS: 50,
  /** Ticks handled this late are logged. */
  LATE_MS: 200,
  LATE_LOG_GAP_MS: 1_000,
  /** Weight of the previous value in the smoothed lag, applied at each tick. */
  LAG_SMOOTHING: 0.8,
} as const;

export const STARVATION = {
  /** How long nothing of a submission runs before the reason is determined. */
  AFTER_MS: 3_000,
  CHECK_INTERVAL_MS: 250,
  /** Most submissions that one check looks at, and most workers for each of them. */
  MAX_SUBMISSIONS: 16,
  MAX_WORKERS: 8,
  /** Most log lines of one check. */
  MAX_LINES: 4,
} as const;

export const CLOCK_JUMP = {
  /** Accepted drift between the wall clock and the monotonic clock from one event to the next. */
  TOLERANCE_MS: 250,
} as const;

export const SHUTDOWN = {
  /** How long the listener stays open after a shutdown request. */
  LISTENER_OPEN_MS: 2_500,
  /** Part of the grace period of the platform that is reserved for the exit itself. */
  EXIT_MARGIN_MS: 1_200,
} as const;

export const PURGE = {
  /** Ended submissions are kept this much longer than their retention time. */
  MARGIN_MS: 30_000,
  SWEEP_MS: 10_000,
} as const;

export const TOKEN_BUCKET = {
  /** Capacity of a team's token bucket, as the time that it takes to fill. */
  BURST_S: 1,
  /** The same for submissions that return after an outage of the store, so that new ones keep theirs. */
  RETURN_BURST_S: 8,
} as const;

export const PLACEMENT = {
  /** Unsuitable workers that the searches of a placement pass may examine before it ends. */
  MAX_FRUITLESS_CHECKS: 512,
  /** Most submissions that a pass examines. */
  MAX_SUBMISSIONS: 128,
  /** The same for submissions that earlier passes have left out, which a pass examines last. */
  MAX_FRUITLESS_CHECKS_LEFT_OUT: 128,
  MAX_SUBMISSIONS_LEFT_OUT: 32,
  /** Submissions of a team that may hit its ceiling before the pass skips the team. */
  MAX_CAPPED: 8,
  /** MAX_CAPPED for a team far below its ceiling, which only single large items exceed. */
  MAX_CAPPED_BELOW_CEILING: 32,
  /** Interval between passes over work that waits for workers or ceilings. */
  RECHECK_MS: 100,
} as const;

export const ORDERING = {
  /** Slack above the critical path of a submission that has not started, as a fraction of it. */
  CRITICAL_PATH_SLACK: 0.25,
  /** Time from capacity becoming free to the start of an item. */
  START_DELAY_MS: 150,
  /** Work that ends after this multiple of its target duration has expired. */
  EXPIRY_FACTOR: 3,
} as const;
