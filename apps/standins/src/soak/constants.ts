/** Faults that a soak can bring about. */
export const FAULT = {
  /** The owner's process is killed. */
  KILL_OWNER: "killOwner",
  /** The owner's process gets SIGTERM. */
  STOP_OWNER: "stopOwner",
  /** The owner's process stands still for a while. */
  SUSPEND_OWNER: "suspendOwner",
  /** The owner no longer reaches the store, and hears nothing. */
  CUT_OWNER: "cutOwner",
  /** A share of the processes is killed at once. */
  KILL_NODES: "killNodes",
  /** All processes get SIGTERM one after the other. */
  STOP_IN_TURN: "stopInTurn",
  /** The store answers nobody. */
  SILENCE_STORE: "silenceStore",
  /** The store's answers take longer; the strength is the delay in ms. */
  SLOW_STORE: "slowStore",
  /** The store drops its change history. */
  DROP_HISTORY: "dropHistory",
  /** A share of a pool's workers crashes and restarts under the same ids. */
  RESTART_WORKERS: "restartWorkers",
  /**
   * A share of the workers restarts under the same ids; their next incarnations carry out the calls
   * that came meanwhile, and are cut off soon after.
   */
  RESTART_AND_CUT: "restartAndCut",
  /** A share of the workers fails everything. */
  FAILING_WORKERS: "failingWorkers",
  /** Runs that start on a share of the workers stand still. */
  STALLED_WORKERS: "stalledWorkers",
  /** A share of the workers drains, leaves and is replaced. */
  DRAIN_WORKERS: "drainWorkers",
  /** A share of the orders is carried out late. */
  LATE_ORDERS: "lateOrders",
  /** The operators write a new configuration again and again. */
  CHANGE_CONFIG: "changeConfig",
  /** The ceilings of all teams fall to a share of theirs. */
  LOWER_CEILINGS: "lowerCeilings",
  /** A share of the hosts is due for maintenance. */
  WAVE: "wave",
  /** A zone is evacuated, and taken back at the end. */
  EVACUATE_ZONE: "evacuateZone",
  /** A share of all submissions can never be done. */
  HOPELESS_WORK: "hopelessWork",
  /** One team sends many times its usual. */
  BUSY_TEAM: "busyTeam",
  /** All submissions come at a multiple of their rate. */
  SURGE: "surge",
  /** A share of the accepted submissions is cancelled. */
  CANCEL_MANY: "cancelMany",
} as const;

/** What a soak finds, by the users' rules. */
export const FINDING = {
  /** Nothing of an accepted submission runs although it could. */
  STARVED: "starved",
  /** An accepted submission is not known, or is shown as failed without cause. */
  LOST: "lost",
  /** A submission is shown as completed before it is. */
  MIXED: "mixed",
  /** Two runs of one item at the same time. */
  TWICE: "twice",
  /** A worker runs more than it has room for. */
  LIMIT: "limit",
  /** An item starts in a zone whose evacuation was requested too long ago. */
  EVACUATED: "evacuated",
} as const;

export const SOAK_PHASE = {
  TRAFFIC: "traffic",
  SETTLING: "settling",
  /** Submissions are watched for the time that the rule names. */
  WATCHING: "watching",
  /** Each submission's state is read. */
  READING: "reading",
  ENDED: "ended",
} as const;

export const SOAK = {
  TICK_MS: 100,
  /** Longest time for which nothing of a submission may run although it could. */
  MAX_STARVED_MS: 3_000,
  /** The same for a long-running item, from its last run. */
  MAX_ITEM_IDLE_MS: 6_000,
  /** Time for which submissions are watched at the end; longer than the rule's 3 s. */
  WATCH_MS: 6_000,
  /** Faults strike from here on after the start of the traffic, and not in its last part. */
  FIRST_FAULT_MS: 2_000,
  /** Time for which workers are down that restart and are cut off, and until the cut. */
  RESTART_MS: 600,
  CUT_AFTER_RESTART_MS: 2_000,
  /** Time within which starts end in a zone whose evacuation is requested. */
  EVACUATION_MS: 5_000,
  /** Earliest time after its acceptance at which a submission is cancelled. */
  CANCEL_AFTER_MS: 2_000,
} as const;
