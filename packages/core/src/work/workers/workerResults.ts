/** Results of an order to start a run. */
export const START_RESULT = {
  STARTED: "started",
  /** The worker has accepted the fencing token of a newer owner. */
  STALE_FENCE: "staleFence",
  /** This run, or a later one of the item, was stopped or has ended on the worker. */
  ALREADY_ENDED: "overBefore",
  /** The lease that the order grants has already expired. */
  LEASE_EXPIRED: "leaseOver",
  /** The worker refused for another reason, such as too little capacity or an invalid ticket. */
  REFUSED: "refused",
  /** The worker is unhealthy and did nothing. */
  UNHEALTHY: "unhealthy",
  /** Another incarnation answered at the worker's address. */
  WRONG_INCARNATION: "wrongLife",
  /** This node failed to send the order. */
  NOT_SENT: "notSent",
  /** This node was too busy to send the order before its deadline. */
  DELAYED: "heldUp",
  UNANSWERED: "unanswered",
} as const;

/** How a run ended. */
export const END_KIND = {
  DONE: "done",
  FAILED: "failed",
  STOPPED: "stopped",
  /** The worker's lease expired. */
  LEASE_EXPIRED: "lapsed",
  GANG_BROKEN: "gangBroken",
  GANG_ALONE: "gangAlone",
} as const;

/** How an incarnation of a worker relates to the known one. */
export const INCARNATION_RELATION = {
  EARLIER: "earlier",
  SAME: "same",
  NEXT: "next",
} as const;
