export { END_KIND, LIFE, START_RESULT } from "./answerKinds.js";
export { HOSTS, LENDING, UPKEEP_WAVE } from "./hostConstants.js";

/** Tables of the platform's store that belong to the product. */
export const WORK_TABLE = {
  /** What callers handed in, and their cancels. Written once a row, by any node. */
  HAND_INS: "heatherferry-hand-ins",
  /** What became of it. Written by the owner alone. */
  PROGRESS: "heatherferry-progress",
  /** Who decides. */
  OWNER: "heatherferry-owner",
  /** What may run on each worker. Written by the owner alone. */
  LEASES: "heatherferry-leases",
} as const;

/** The one row that names the owner. */
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
  /** Nothing was stored: the caller may try again. */
  UNAVAILABLE: "unavailable",
  /** The write may or may not have taken effect. */
  UNKNOWN: "unknown",
} as const;

export const COMMIT_RESULT = {
  COMMITTED: "committed",
  CONFLICTED: "conflicted",
  /** The store said that it did nothing. */
  REFUSED: "refused",
  /** No answer: it may have taken effect, or may do so later. */
  UNANSWERED: "unanswered",
} as const;

export const FEED = {
  OPERATORS: "operators",
  WORKERS: "workers",
  HAND_INS: "handIns",
} as const;

export const SCAN = {
  ...FEED,
  PROGRESS: "progress",
  OWNER: "owner",
  LEASES: "leases",
} as const;

export const RUN_PHASE = {
  /** Its room is taken; the order waits until the owner's row names it. */
  PLANNED: "planned",
  /** Ordered, not answered. */
  ORDERED: "ordered",
  RUNNING: "running",
  STOPPING: "stopping",
} as const;

export const ITEM_PHASE = {
  /** Steps before it are not done, or its time has not come. */
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

/** What a worker is kept free for. */
export const RESERVATION = {
  MOVE: "move",
  UPKEEP: "upkeep",
  /** Its host goes to another pool once what runs there has ended. */
  DRAIN: "drain",
} as const;

export const OWNERSHIP = {
  /** How often others look at the owner's row. */
  POLL_MS: 200,
  /** The owner writes its row at least this often. */
  RENEW_MS: 300,
  /** After this long without a confirmed write the owner orders nothing. */
  SURE_MS: 1_100,
  /** A row that stood still this long may be taken over; above SURE_MS by a write's time. */
  SILENCE_MS: 1_500,
  /** Spread of first claims, so that not all nodes write at once. */
  CLAIM_SPREAD_MS: 150,
  /** Wait before the very first claim for each time that a node's processor falls short of a core. */
  FIRST_CLAIM_MS: 200,
  /** A node with less than this share of the strongest owner's processor leaves others the lead. */
  STRONG_SHARE: 0.75,
  WEAK_CLAIM_MS: 400,
  /** A weak owner gives the work back after this time, and after twice as long each time in a row. */
  YIELD_MS: 2_000,
  MOST_YIELD_MS: 16_000,
  /** A weak owner that gave the work back leaves it to others for so long. */
  YIELD_REST_MS: 1_500,
  /** A node that failed to handle an event leaves the work to others for so long. */
  REST_MS: 3_000,
} as const;

export const STORE = {
  FEED_WAIT_MS: 1_000,
  /** Pause between an answer of a feed and the next call, so that one carries what gathers meanwhile. */
  FEED_GAP_MS: { operators: 0, workers: 100, handIns: 15 },
  FEED_RETRY_MS: 200,
  SCAN_RETRY_MS: 200,
  /** Nodes count the store as lost after this long without an answer. */
  LOST_MS: 1_300,
  /** Pause before a failed owner's write is sent again. */
  COMMIT_RETRY_MS: 100,
  /** Rows of one transaction; the store takes 100 entries, the owner's row among them. */
  MAX_ROWS: 90,
  /** Of these, rows of workers with new work; the others are left to what has ended. */
  MAX_START_ROWS: 50,
  /** Runs that wait for a row to name them; more would hold up looks and renewals as they leave. */
  MAX_PLANNED_STARTS: 96,
  /** Most runs on a worker; its row, which names them all, holds 65,536 bytes. */
  MAX_RUNS_NAMED: 1_000,
  /** Pause between two writes of the owner, so that one carries what gathers meanwhile. */
  LEDGER_GAP_MS: 20,
} as const;

export const CATALOG_VIEW = {
  /** Keys are honoured for so long after the newest view of the rules was asked for. */
  MARGIN_BEFORE_REVOKE_MS: 1_000,
  /** A node with an older view leaves rotation. */
  READY_MS: 2_500,
} as const;

export const LEASE = {
  /** Longest lease asked for. */
  TERM_MS: 4_000,
  /** Longest wait of a look at a worker for news. */
  LOOK_WAIT_MS: 1_000,
  /** Pause between two looks at a worker. */
  LOOK_GAP_MS: 100,
  /** The same at most, where the owner is late: one look then tells of more ends. */
  MOST_LOOK_GAP_MS: 250,
  /** What a ms that the owner is late adds to the pause, in ms. */
  GAP_FOR_LAG: 1,
  LOOK_RETRY_MS: 300,
  /** Ends are acknowledged to a life that answered a look so lately; a new one numbers its own. */
  SAME_LIFE_MS: 300,
  /** The same, after a look that acknowledged none to find out. */
  SAME_LIFE_ASKED_MS: 1_500,
  /** A worker whose answer is this much overdue counts as silent. */
  SILENT_MARGIN_MS: 300,
  /** Workers' clocks may be this much slow, so a lease may last this much longer. */
  SLOWEST_CLOCK: 0.98,
  END_MARGIN_MS: 100,
  /** What lasts is stopped on a worker that may leave so soon: later its end would be noticed late. */
  LEAVING_MS: 1_000,
  /** On top of the time that a stop may take. */
  STOP_MARGIN_MS: 200,
} as const;

export const ORDER = {
  /** Pause before a worker that refused work gets new work. */
  PAUSE_MS: 1_000,
  /** A stop without an answer is sent again after this time. */
  STOP_REPEAT_MS: 700,
  /** Orders to start a run before it is given up and stopped. */
  MOST_STARTS: 3,
  /** An order without an answer may be carried out so long after it was sent. */
  LATE_MS: 6_000,
} as const;

export const PENDING_COUNT = {
  /** Callers may be told of a number this old. */
  MOST_AGE_MS: 2_000,
} as const;

export const CALL = {
  /** Kept back of a caller's wait for the answer's way. */
  ANSWER_MARGIN_MS: 200,
  DEFAULT_WAIT_MS: 3_000,
  RETRY_AFTER_MS: 1_000,
} as const;

export const CLOCK_TURN = {
  /** Least time between two looks at all that goes by time. */
  GAP_MS: 40,
  /** Looks at workers that one turn sends. */
  MOST_LOOKS: 32,
  /** When a turn goes on that left something undone. */
  SOON_MS: 1,
  /** What is due within so long of each other is done in one turn. */
  GRAIN_MS: 8,
  /** Pause before what needs a sure ownership is looked at again. */
  UNSURE_MS: 50,
  /** A turn handled so late is logged. */
  LATE_MS: 200,
  LATE_LOG_GAP_MS: 1_000,
  /** Part of an earlier lag that the present one keeps at each turn. */
  LAG_KEPT: 0.8,
} as const;

export const GIVEN_UP = {
  /** Runs that a line names. */
  NAMED_RUNS: 5,
} as const;

export const CLOCK_JUMP = {
  /** Wall and steady clock may drift apart by this much between two turns. */
  TOLERANCE_MS: 250,
} as const;

export const HEALTH = {
  /** Failures in a row after which a worker gets a rest. */
  FAILURES: 3,
  REST_MS: 4_000,
  /** A run without progress for this long is started elsewhere. */
  STALL_MS: 2_500,
} as const;

export const PACING = {
  /** Fillers are slowed when a tail passes this share of its target. */
  ALERT_SHARE: 0.85,
  /** They are let up again when all tails are below this share. */
  CALM_SHARE: 0.6,
  /** Pause before fillers are let up a step. */
  CALM_MS: 2_000,
  STEP_PERCENT: 25,
  /** Stands for a pace that was not confirmed; neither stopped nor at full pace. */
  UNKNOWN_PERCENT: 1,
} as const;

export const LEAVING = {
  /** The listener stays open so long after a shutdown was asked for. */
  LINGER_MS: 2_500,
  /** Kept back of the time that the platform grants. */
  EXIT_MARGIN_MS: 1_200,
} as const;

export const FORGET = {
  /** Ended submissions are kept this much longer than callers may ask for them. */
  MARGIN_MS: 30_000,
  SWEEP_MS: 10_000,
} as const;

export const ALLOWANCE = {
  /** A team may save up its weight for so long. */
  BURST_S: 1,
} as const;

export const PLACING = {
  /** Workers that searches of a pass may look at in vain before it ends. */
  MOST_IN_VAIN: 512,
  /** Submissions that a pass looks at. */
  MOST_TRIED: 128,
  /** Submissions of a team that may meet its ceiling before a pass leaves the team out. */
  MOST_CAPPED: 8,
  /** The same for a team that is far from its ceiling: single items exceed it. */
  MOST_CAPPED_FAR: 32,
  /** Pause between two passes over work that waits for workers or ceilings. */
  RECHECK_MS: 100,
} as const;

export const ORDERING = {
  /** Room above the estimated chain of a submission that has not begun, as a part of it. */
  CHAIN_ROOM: 0.25,
  /** Time from room to a start. */
  START_MS: 150,
  /** Work that ends after so many times its objective is worth nothing. */
  WORTH_FACTOR: 3,
} as const;
