/** Memory of the submissions that an owner holds. */
export const HELD = {
  /** A submission that has not ended, without its payload, steps and items. */
  OPEN_BYTES: 4_096,
  STEP_BYTES: 1_024,
  ITEM_BYTES: 512,
  /** Items of a submission that are open however many others there are. */
  MAX_COUNTED_ITEMS: 16,
  /** A submission whose state is kept for callers after its end. */
  ENDED_BYTES: 2_048,
  /** Budget of a node whose settings name none. */
  DEFAULT_BUDGET_BYTES: 50_331_648,
  /** Part of the budget from which on no team may take more than its share. */
  SHARES_APPLY_FROM: 0.6,
  /** Part from which on teams may only take what is left, in equal parts. */
  EQUAL_PARTS_FROM: 0.8,
  /** Part of the budget for all submissions without a team. */
  SHARE_WITHOUT_TEAM: 0.25,
  /** Most teams that the owner row names. */
  MAX_TEAMS: 96,
  /** Shortest and longest time after which callers are told to return. */
  MIN_RETURN_MS: 10_000,
  MAX_RETURN_MS: 30_000,
} as const;
