/** Size of the fleet that the system is designed for, and the resulting size of one zone. */
export const DESIGN_SIZE = {
  WORKERS: 11_000,
  POOLS: 52,
  TEAMS: 85,
  ZONES: 17,
  REGIONS: 5,
  ENTRY_HOSTS: 150,
  QUEUES: 170,
  KEYS: 255,
  RULE_CHANGES_PER_DAY: 5_500,
  /** Hosts of one zone, rounded up. */
  HOSTS_PER_ZONE: 648,
  /** Entry hosts of one zone, rounded up. */
  ENTRY_HOSTS_PER_ZONE: 9,
  SLOTS_PER_HOST: 8,
} as const;

/** Upper bounds of the resources that a node uses for control traffic. */
export const CONTROL_BUDGET = {
  CPU_FRACTION: 0.012,
  MEMORY_MB: 128,
  BYTES_PER_SECOND: 28_000,
  TABLE_WRITES_PER_SECOND: 100,
  TABLE_READS_PER_SECOND: 2_000,
} as const;
