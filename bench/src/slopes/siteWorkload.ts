import { address, availabilityZoneId, hostId, poolId, queueId, rackId } from "@heatherferry/common";
import { teamId } from "@heatherferry/common";
import {
  submissionId,
  workerId,
  type Catalog,
  type SubmissionRow,
  type Queue,
  type StepSpec,
  type WorkBounds,
  type WorkerReport,
} from "@heatherferry/core";

/** Workload of a large simulated site: its pools and the work that runs there. */
export const SITE_WORKLOAD = {
  TEAMS: 29,
  POOLS: 4,
  WORKERS_PER_RACK: 8,
  ITEMS_PER_STEP: 8,
  LONG_RUNNING_ITEMS: 24,
  /** Long-running runs per worker. */
  LONG_RUNNING_RUNS: 2,
  /** Submissions that have ended within the day and whose status callers may still request. */
  ENDED_SUBMISSIONS: 1_500,
  HEARTBEAT_MS: 1_500,
  /** Run ends per second on a worker, and the most on all workers, since writes can record no more. */
  RUN_ENDS_PER_WORKER_PER_S: 1.4,
  MAX_RUN_ENDS_PER_S: 1_600,
} as const;

export const SITE_BOUNDS: WorkBounds = {
  revokeMs: 5_000,
  configApplyMs: 4_000,
  holdMaxMs: 6_000,
  stopMs: 900,
  gangMs: 5_000,
  graceMs: 6_000,
  drainMs: 4_000,
  statusRetentionMs: 120_000,
  visibleMs: 3_000,
  hostOrderLeaseMs: 3_000,
  noticeMs: 6_500,
  impactMs: 5_000,
  moveMs: 1_500,
  maintenanceMs: 2_000,
  evacuationMs: null,
};

const numbered = <T>(count: number, make: (index: number) => T): T[] =>
  Array.from({ length: count }, (_unused, index) => make(index));

const poolAt = (pool: number): ReturnType<typeof poolId> => poolId(`pool-${pool}`);

const queueOf = (pool: number, isLongRunning: boolean): Queue => ({
  id: queueId(`queue-${pool}-${isLongRunning ? "lasting" : "short"}`),
  callerHost: "site.example",
  pathPrefix: `/${pool}/${isLongRunning ? "lasting" : "short"}/`,
  pool: poolAt(pool),
  priority: !isLongRunning && pool % 2 === 1 ? 1 : 0,
  maxAttempts: 4,
  stretchFactor: isLongRunning ? 2.2 : 1.6,
  targetDurationMs: isLongRunning ? 2_500 : 600,
  openToAll: false,
});

const TEAMS = numbered(SITE_WORKLOAD.TEAMS, (index) => teamId(`team-${index}`));

export const SITE_CATALOG: Catalog = {
  revision: 1,
  queues: numbered(SITE_WORKLOAD.POOLS, (pool) => [
    queueOf(pool, true),
    queueOf(pool, false),
  ]).flat(),
  pools: [
    ...numbered(SITE_WORKLOAD.POOLS, (pool) => ({ id: poolAt(pool), standby: false })),
    { id: poolId("spare"), standby: true },
  ],
  teams: TEAMS.map((id) => ({
    id,
    keys: [`key-${id}`],
    weight: 2,
    ceiling: { cpuMilli: 1e9, memoryMb: 0, gpus: 0 },
  })),
  maxBodyBytes: 262_144,
};

/** @returns The registration of the worker with this number. */
export const reportAt = (index: number, clockMs: number): WorkerReport => ({
  id: workerId(`worker-${index}`),
  host: hostId(`host-${index}`),
  pool: poolAt(index % SITE_WORKLOAD.POOLS),
  address: address(`10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:9000`),
  availabilityZone: availabilityZoneId(`z${index % 5}`),
  rack: rackId(`r${Math.floor(index / SITE_WORKLOAD.WORKERS_PER_RACK)}`),
  labels: ["a"],
  capacity: { cpuMilli: 32_000, memoryMb: 65_536, gpus: 0 },
  draining: false,
  drainRemainingMs: null,
  clockMs,
  startWallMs: 1,
  coldRemainingMs: 0,
});

const stepOf = (count: number, cpuMilli: number, memoryMb: number): StepSpec => ({
  count,
  needs: { cpuMilli, memoryMb, gpus: 0 },
  estimateMs: 1_000,
  after: [],
  checkpointing: false,
  gang: false,
  rackLocal: false,
  requiredLabel: null,
  preferredRack: null,
  maxPerWorker: null,
  speculative: false,
  lasting: false,
  image: null,
  tailTargetMs: null,
  filler: false,
  maxUnavailable: null,
});

const longRunningStep = (): StepSpec => ({
  ...stepOf(SITE_WORKLOAD.LONG_RUNNING_ITEMS, 4_800, 22_000),
  lasting: true,
  image: "image",
  maxPerWorker: 1,
  maxUnavailable: 3,
});

/** @returns Batch items that fit on a worker beside its long-running runs. */
export const batchRunsPerWorker = (pool: number): number => (pool % 2 === 1 ? 1 : 4);

const batchSteps = (index: number, pool: number): StepSpec[] => {
  const step =
    pool % 2 === 1
      ? stepOf(SITE_WORKLOAD.ITEMS_PER_STEP, 9_800, 18_000)
      : stepOf(SITE_WORKLOAD.ITEMS_PER_STEP, 4_500, 4_600);
  return Math.floor(index / SITE_WORKLOAD.POOLS) % 2 === 0
    ? [step]
    : [step, { ...step, after: [0] }];
};

/** Payload that callers submit with the steps. */
const PAYLOAD = "x".repeat(1_000);

/**
 * @param index - Number of the submission; selects its team and steps.
 * @param pool - Number of the pool that runs it.
 * @param isLongRunning - Whether it runs until it is cancelled.
 * @param acceptedWallMs - Wall-clock time of its acceptance.
 * @returns The stored row of the submission.
 */
export const submissionRowAt = (
  index: number,
  pool: number,
  isLongRunning: boolean,
  acceptedWallMs: number,
): SubmissionRow => ({
  id: submissionId(index.toString(16).padStart(16, "0")),
  queue: queueOf(pool, isLongRunning).id,
  pool: poolAt(pool),
  team: TEAMS[index % SITE_WORKLOAD.TEAMS] ?? null,
  acceptedWallMs,
  work: {
    payload: PAYLOAD,
    steps: isLongRunning ? [longRunningStep()] : batchSteps(index, pool),
    occurrences: 0,
    firstDueWallMs: 0,
    intervalMs: 0,
  },
});
