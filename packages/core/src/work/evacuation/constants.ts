/** Limits on how long requests to evacuate zones may go unnoticed, and how zones return. */
export const EVACUATION = {
  /** Longest wait of a start order for a connection, and then for its worker's answer. */
  START_ORDER_LIFETIME_MS: 2_300,
  /** Part of the bound that a view of the requests may always use up, however short the bound. */
  MIN_VIEW_SHARE: 0.5,
  /** Part of the time until a view is too old that the request for the next one may wait. */
  FEED_WAIT_SHARE: 0.6,
  /** Time over which the workers of a zone return, since they may be slow after a pause. */
  RETURN_MS: 2_000,
  /** Least time between two reports on a zone. */
  REPORT_INTERVAL_MS: 1_000,
} as const;

export const EVACUATION_STATE = {
  /** Work still runs in the zone. */
  EMPTYING: "emptying",
  /** Nothing runs in the zone any more. */
  EMPTIED: "emptied",
  /** The request was removed. */
  ENDED: "ended",
} as const;
