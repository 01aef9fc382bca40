/** Most bytes of a lease row: beside its items, and for each of them. */
export const LEASE_ROW = {
  BASE_BYTES: 400,
  ITEM_BYTES: 64,
} as const;

/** Bounds of the progress row of a submission. */
export const PROGRESS = {
  /** Most done items that a row lists; beyond, it holds a window, which is bounded. */
  MAX_LISTED_ITEMS: 500,
  /** Size of an item with one failed run, and of each further failed run of it. */
  FAILED_ITEM_BYTES: 40,
  FAILED_RUN_BYTES: 10,
  /** An item that has not failed starts only while failures of all that run fit into this. */
  MAX_FAILURE_BYTES: 28_000,
  /** The same for items that have failed before. */
  MAX_REPEATED_FAILURE_BYTES: 36_000,
} as const;

/** Bounds of the items that the owner holds in memory. */
export const ITEM_WINDOW = {
  /** Most items of a submission from the first that is not done to the last that may run. */
  MAX_SPAN: 4_096,
  /** Open items of all submissions beyond which a submission opens only a few. */
  MAX_OPEN: 60_000,
  MIN_OPEN_EACH: 16,
} as const;

/** Largest submissions that an owner can hold; others are refused at hand-in. */
export const SUBMISSION_LIMIT = {
  /** Items of a gang, which run at once. */
  GANG_ITEMS: 700,
  /** Items that last, over all occurrences. */
  LASTING_ITEMS: 10_000,
  /** Items that end by themselves, over all occurrences. */
  ITEMS: Number.MAX_SAFE_INTEGER,
  /** Size of the stored row, in base64. */
  ROW_BYTES: 65_536,
} as const;
