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

/** A large site: what its pools are asked for, and what runs there. */
export const SITE_MIX = {
  TEAMS: 29,
  POOLS: 4,
  WORKERS_A_RACK: 8,
  ITEMS_OF_A_STEP: 8,
  ITEMS_THAT_LAST: 24,
  /** Runs of each worker that last. */
  LASTING_RUNS: 2,
  /** Submissions of the day that have ended and may be asked for yet. */
  ENDED: 1_500,
  BEAT_MS: 1_500,
  /** Items that end on a worker in a second; of all together no more than writes can name. */
  ENDS_A_WORKER_PER_S: 1.4,
  MOST_ENDS_PER_S: 1_600,
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
};

const numbered = <T>(count: number, make: (index: number) => T): T[] =>
  Array.from({ length: count }, (_unused, index) => make(index));

const poolAt = (pool: number): ReturnType<typeof poolId> => poolId(`pool-${pool}`);

const queueOf = (pool: number, lasts: boolean): Queue => ({
  id: queueId(`queue-${pool}-${lasts ? "lasting" : "short"}`),
  callerHost: "site.example",
  pathPrefix: `/${pool}/${lasts ? "lasting" : "short"}/`,
  pool: poolAt(pool),
  priority: !lasts && pool % 2 === 1 ? 1 : 0,
  maxAttempts: 4,
  stretchFactor: lasts ? 2.2 : 1.6,
  targetDurationMs: lasts ? 2_500 : 600,
  openToAll: false,
});

const TEAMS = numbered(SITE_MIX.TEAMS, (index) => teamId(`team-${index}`));

export const SITE_CATALOG: Catalog = {
  revision: 1,
  queues: numbered(SITE_MIX.POOLS, (pool) => [queueOf(pool, true), queueOf(pool, false)]).flat(),
  pools: [
    ...numbered(SITE_MIX.POOLS, (pool) => ({ id: poolAt(pool), standby: false })),
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

/** @returns What the worker numbered so says of itself. */
export const reportAt = (index: number, clockMs: number): WorkerReport => ({
  id: workerId(`worker-${index}`),
  host: hostId(`host-${index}`),
  pool: poolAt(index % SITE_MIX.POOLS),
  address: address(`10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:9000`),
  availabilityZone: availabilityZoneId(`z${index % 5}`),
  rack: rackId(`r${Math.floor(index / SITE_MIX.WORKERS_A_RACK)}`),
  labels: ["a"],
  capacity: { cpuMilli: 32_000, memoryMb: 65_536, gpus: 0 },
  draining: false,
  drainRemainingMs: null,
  clockMs,
  startWallMs: 1,
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

const lastingStep = (): StepSpec => ({
  ...stepOf(SITE_MIX.ITEMS_THAT_LAST, 4_800, 22_000),
  lasting: true,
  image: "image",
  maxPerWorker: 1,
  maxUnavailable: 3,
});

/** Items of short work that a worker has room for beside what lasts there. */
export const shortRuns = (pool: number): number => (pool % 2 === 1 ? 1 : 4);

const shortSteps = (index: number, pool: number): StepSpec[] => {
  const step =
    pool % 2 === 1
      ? stepOf(SITE_MIX.ITEMS_OF_A_STEP, 9_800, 18_000)
      : stepOf(SITE_MIX.ITEMS_OF_A_STEP, 4_500, 4_600);
  return Math.floor(index / SITE_MIX.POOLS) % 2 === 0 ? [step] : [step, { ...step, after: [0] }];
};

/** Text that callers hand in beside the steps. */
const PAYLOAD = "x".repeat(1_000);

/**
 * @param index - Its number, which decides its team and its steps.
 * @param pool - Number of the pool that runs it.
 * @param lasts - Whether it runs until it is cancelled.
 * @param acceptedWallMs - When it was accepted, in ms.
 * @returns What is stored of a submission.
 */
export const handInAt = (
  index: number,
  pool: number,
  lasts: boolean,
  acceptedWallMs: number,
): SubmissionRow => ({
  id: submissionId(index.toString(16).padStart(16, "0")),
  queue: queueOf(pool, lasts).id,
  pool: poolAt(pool),
  team: TEAMS[index % SITE_MIX.TEAMS] ?? null,
  acceptedWallMs,
  work: {
    payload: PAYLOAD,
    steps: lasts ? [lastingStep()] : shortSteps(index, pool),
    occurrences: 0,
    firstDueWallMs: 0,
    intervalMs: 0,
  },
});
