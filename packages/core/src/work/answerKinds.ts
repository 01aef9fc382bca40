export const START_RESULT = {
  STARTED: "started",
  /** A newer owner has been at the worker. */
  STALE_FENCE: "staleFence",
  /** This run, or a later one of the item, was stopped or has ended there. */
  OVER_BEFORE: "overBefore",
  /** The lease that the order grants is over. */
  LEASE_OVER: "leaseOver",
  /** Refused for another reason, such as no room or a bad ticket. */
  REFUSED: "refused",
  /** An unhealthy worker that did nothing. */
  UNHEALTHY: "unhealthy",
  /** Another life answered at this address. */
  WRONG_LIFE: "wrongLife",
  /** The order never left this node. */
  NOT_SENT: "notSent",
  /** It never left this node either, which was too busy to send it in time. */
  HELD_UP: "heldUp",
  UNANSWERED: "unanswered",
} as const;

export const END_KIND = {
  DONE: "done",
  FAILED: "failed",
  STOPPED: "stopped",
  LAPSED: "lapsed",
  GANG_BROKEN: "gangBroken",
  GANG_ALONE: "gangAlone",
} as const;

/** Which life of a worker is spoken of, beside the one that is known. */
export const LIFE = {
  EARLIER: "earlier",
  SAME: "same",
  NEXT: "next",
} as const;
