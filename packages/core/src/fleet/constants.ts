import { poolId } from "@heatherferry/common";

export const HOST_PHASE = {
  IN_SERVICE: "inService",
  /** Gets no new work; what runs there finishes. */
  LEAVING: "leaving",
  /** Nothing runs there: it may be stopped or is being rebooted. */
  STOPPED: "stopped",
} as const;

export const DRAIN_REASON = {
  OPERATOR: "operator",
  WAVE: "wave",
  MOVE: "move",
  /** The platform's list names the host as leaving. */
  PLATFORM: "platform",
} as const;

/** Why a host may not be taken out of service now. */
export const PERMIT_REFUSAL = {
  ALREADY_OUT: "alreadyOut",
  NO_POOL_RULE: "noPoolRule",
  POOL_BUDGET_SPENT: "poolBudgetSpent",
  RACK_BUDGET_SPENT: "rackBudgetSpent",
  LAST_IN_ZONE: "lastInZone",
} as const;

/** Why a host may not be put back in service by an operator. */
export const UNDRAIN_REFUSAL = {
  IN_SERVICE: "inService",
  /** A reboot is ordered: what started there now would be cut off. */
  BEING_MAINTAINED: "beingMaintained",
} as const;

/** The lease under which the platform's list is read. */
export const FLEET_LEASE = poolId("*");

export const MAINTAINER_LEASE = {
  TERM_MS: 15_000,
  RENEW_AFTER_MS: 5_000,
  /** Bound on the difference of two clocks over one term. */
  SKEW_MS: 2_000,
  /** Each place further from a lease waits this much longer before it claims it. */
  RANK_DELAY_MS: 500,
  MAX_RANK: 8,
} as const;

/** Bounds on an entry host's view of the hosts. */
export const VIEW = {
  /** An entry host starts no work by an older view, or without a heartbeat for this long. */
  LAPSE_MS: 43_200_000,
  /** Work started before the lapse has ended after this. */
  MAX_WORK_MS: 7_200_000,
  /** Bound on the drift of two clocks over both. */
  SKEW_MS: 600_000,
} as const;

export const FLEET = {
  STEP_INTERVAL_MS: 500,
  LIST_MIN_INTERVAL_MS: 5_000,
  /** Size of one host in the platform's list. */
  LISTED_HOST_BYTES: 160,
  /** Traffic that reading the list may cause. */
  LIST_BYTES_PER_SECOND: 20_000,
  /** The list may lag this far behind a change of a host's row. */
  LIST_LAG_MS: 15_000,
  INSERTS_PER_WRITE: 50,
  REBOOT_ATTEMPTS: 2,
  /** After this an order whose answer was lost no longer reaches the host. */
  ORDER_SETTLE_MS: 660_000,
  /** A maintainer that cannot release its leases exits after this. */
  SHUTDOWN_MAX_MS: 5_000,
} as const;
