export const LENDING = {
  /** Workers that a pool keeps in any case. */
  LEAST_WORKERS: 2,
  /** A worker that has not answered so long after its entry came is gone. */
  FIRST_ANSWER_MS: 600,
  /** A worker idle for so long may go to a pool whose work waits. */
  LEND_IDLE_MS: 200,
  /** A worker idle for so long is turned off. */
  RETIRE_IDLE_MS: 1_200,
  /** What waits should be done within this time. */
  DRAIN_MS: 800,
  /** The same for what is too late to be worth anything. */
  WORTHLESS_DRAIN_MS: 8_000,
  /** A host that is not empty so long after it was to be drained stays in its pool. */
  DRAIN_GIVE_UP_MS: 4_000,
  /** Time over which the rate of arriving work is averaged. */
  STEADY_MS: 1_500,
  /** Times over which a sudden rise is looked for. */
  SURGE_WINDOWS_MS: [150, 300, 600],
  /** Standard errors that a rise is taken to be smaller than it looks. */
  CHANCE: 1,
  LOG_MS: 1_000,
  /** Room above what keeps hosts busy, since items of mixed sizes do not fill a worker. */
  ROOM: 1.15,
  /** Size of a host where a pool has none to go by. */
  HOST_ROOM: { cpuMilli: 16_000, memoryMb: 65_536, gpus: 0 },
} as const;

export const UPKEEP_WAVE = {
  /** Time that work on a worker is given to end before upkeep. */
  EMPTYING_MS: 4_000,
  /** Time to move the lasting work of a step, which lets go of one item at a time. */
  LASTING_MS: 10_000,
  /** Kept back of the time that a wave may take. */
  MARGIN_MS: 3_000,
} as const;

export const HOSTS = {
  /** Pause between two lists of hosts while a wave is under way. */
  LIST_MS: 1_000,
  IDLE_LIST_MS: 4_000,
  ORDER_RETRY_MS: 700,
  /** A host that no list names for so long has been taken away for good. */
  MISSING_MS: 5_000,
  /** After this long a confirmed order counts as carried out even without a new worker. */
  RETURN_MS: 8_000,
  /** A worker that is listed so long after its host's upkeep should be over was not touched. */
  DONE_BEFORE_MS: 1_500,
  /** An order that was sent is carried out by then or never: its connection is reset. */
  ORDER_LIFE_MS: 3_000,
  /** On top of the time in which two holders must not take turns. */
  DUTY_MARGIN_MS: 300,
} as const;
