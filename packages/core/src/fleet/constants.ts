import { poolId } from "@heatherferry/common";

/** Phases of a host's service. */
export const HOST_PHASE = {
  IN_SERVICE: "inService",
  /** Draining: the host gets no new work, and running work finishes. */
  LEAVING: "leaving",
  /** No work runs on the host: it may be switched off, or is being rebooted. */
  STOPPED: "stopped",
} as const;

/** Why a host is drained. */
export const DRAIN_REASON = {
  OPERATOR: "operator",
  WAVE: "wave",
  MOVE: "move",
  /** The platform's host list shows the host as leaving. */
  PLATFORM: "platform",
} as const;

/** Why a host may not be taken out of service at present. */
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
  /** A reboot has been ordered and would interrupt work started on the host. */
  BEING_MAINTAINED: "beingMaintained",
} as const;

/** Pool id of the lease under which the platform's host list is read. */
export const FLEET_LEASE = poolId("*");

/** Timing of the leases that maintainers hold on pools. */
export const MAINTAINER_LEASE = {
  TERM_MS: 15_000,
  RENEW_AFTER_MS: 5_000,
  /** Bound on the difference between two clocks over one lease term. */
  MAX_CLOCK_SKEW_MS: 2_000,
  /** Additional wait for each rank before a maintainer claims a free lease. */
  RANK_DELAY_MS: 500,
  MAX_RANK: 8,
} as const;

/** Bounds on an entry host's view of the host rows. */
export const HOST_VIEW = {
  /**
   * Maximum age of the view, and of the node's last heartbeat, with which an entry host starts
   * work.
   */
  TTL_MS: 43_200_000,
  /** Bound on the run time of work that was started just before the view expired. */
  MAX_WORK_MS: 7_200_000,
  /** Bound on the drift between two clocks over the sum of the two times above. */
  MAX_CLOCK_DRIFT_MS: 600_000,
} as const;

/** Intervals and limits of a maintainer, which is a daemon (`apps/maintainer`). */
export const FLEET = {
  STEP_INTERVAL_MS: 500,
  LIST_MIN_INTERVAL_MS: 5_000,
  /** Size of one entry in the platform's host list. */
  LISTED_HOST_BYTES: 160,
  /** Limit on the traffic that reading the host list causes. */
  LIST_BYTES_PER_SECOND: 20_000,
  /** Maximum time by which the host list lags behind a change of a host's row. */
  MAX_LIST_LAG_MS: 15_000,
  INSERTS_PER_WRITE: 50,
  REBOOT_ATTEMPTS: 2,
  /** A reboot order whose answer was lost reaches the host within this time, or never. */
  MAX_ORDER_DELAY_MS: 660_000,
  /** A maintainer that cannot release its leases exits after this time. */
  SHUTDOWN_MAX_MS: 5_000,
} as const;
