import type { PoolId } from "@heatherferry/common";
import { queueById } from "./catalog.js";
import { HEALTH, RUN_PHASE } from "./constants.js";
import { isSure } from "./ownership.js";
import { roomOf, stopRun } from "./runs.js";
import { planStart } from "./starts.js";
import type { Item, OwnedWork, PoolWork, Submission, Worker } from "./state.js";
import { poolOfSubmission } from "./submissions.js";
import type { Turn } from "./turn.js";
import type { Resources } from "./types.js";
import { isSilent } from "./workers.js";

/** Submissions of a pool that may find no room before a pass ends. */
const MISSES_OF_A_PASS = 12;

const isUsable = (turn: Turn, worker: Worker): boolean =>
  worker.listed &&
  worker.fenced &&
  worker.clock !== null &&
  !worker.report.draining &&
  !worker.reserved &&
  worker.restsUntilMs <= turn.nowMs &&
  worker.roomKnownAtMs <= turn.nowMs &&
  !isSilent(turn, worker);

const fits = (worker: Worker, room: Resources): boolean => {
  const { capacity } = worker.report;
  return (
    worker.usedCpuMilli + room.cpuMilli <= capacity.cpuMilli &&
    worker.usedMemoryMb + room.memoryMb <= capacity.memoryMb &&
    worker.usedGpus + room.gpus <= capacity.gpus
  );
};

const sameStepRuns = (worker: Worker, item: Item): number => {
  let count = 0;
  for (const run of worker.runs.values()) {
    const other = run.item;
    if (
      other.submission === item.submission &&
      other.step === item.step &&
      other.occurrence === item.occurrence
    ) {
      count += 1;
    }
  }
  return count;
};

const disturbs = (worker: Worker, item: Item): boolean => {
  for (const { item: other } of worker.runs.values()) {
    if (item.spec.filler ? other.spec.tailTargetMs !== null : other.spec.filler) {
      return true;
    }
  }
  return false;
};

/** @returns How little a worker suits an item; null where it must not run there. */
const cost = (worker: Worker, item: Item, room: Resources): number | null => {
  const { spec } = item;
  const { report } = worker;
  if (
    !fits(worker, room) ||
    (spec.requiredLabel !== null && !report.labels.includes(spec.requiredLabel))
  ) {
    return null;
  }
  if (spec.maxPerWorker !== null && sameStepRuns(worker, item) >= spec.maxPerWorker) {
    return null;
  }
  // Full workers first: empty ones can be lent or turned off.
  let points = 1 - worker.usedCpuMilli / Math.max(1, report.capacity.cpuMilli);
  if (spec.preferredRack !== null && report.rack !== spec.preferredRack) {
    points += 10;
  }
  if (worker.report.id === item.avoid) {
    points += 5;
  }
  const sensitive = spec.filler || spec.tailTargetMs !== null;
  return sensitive && disturbs(worker, item) ? points + 3 : points;
};

const chooseWorker = (workers: readonly Worker[], item: Item, room: Resources): Worker | null => {
  let best: Worker | null = null;
  let least = Infinity;
  for (const worker of workers) {
    const points = cost(worker, item, room);
    if (points !== null && points < least) {
      least = points;
      best = worker;
    }
  }
  return best;
};

const NO_USE: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/** @returns Whether a team may have the item running beside what it has. */
export const withinCeiling = (turn: Turn, owned: OwnedWork, item: Item): boolean => {
  const { team } = item.submission.handIn;
  const ceiling = turn.work.catalog?.teams.find(({ id }) => id === team)?.ceiling;
  if (team === null || ceiling === undefined) {
    return true;
  }
  const use = owned.teams.get(team) ?? NO_USE;
  const held = owned.heldUse.get(team) ?? NO_USE;
  const { needs } = item.spec;
  const within = (resource: keyof Resources): boolean =>
    ceiling[resource] === 0 ||
    use[resource] + held[resource] + needs[resource] <= ceiling[resource];
  return within("cpuMilli") && within("memoryMb") && within("gpus");
};

interface Ranked {
  readonly submission: Submission;
  readonly priority: number;
  readonly late: boolean;
}

const isLate = (turn: Turn, submission: Submission): boolean => {
  const [first] = submission.ready;
  return (
    turn.nowMs + (first?.spec.estimateMs ?? 0) > submission.dueAtMs && first?.spec.lasting !== true
  );
};

const inOrder = (turn: Turn, pool: PoolWork): readonly Submission[] => {
  const ranked: Ranked[] = [];
  for (const submission of pool.waiting) {
    if (submission.ready.size === 0) {
      pool.waiting.delete(submission);
    } else {
      const queue = queueById(turn.work.catalog, submission.handIn.queue);
      ranked.push({ submission, priority: queue?.priority ?? 0, late: isLate(turn, submission) });
    }
  }
  ranked.sort(
    (one, other) =>
      Number(one.late) - Number(other.late) ||
      one.priority - other.priority ||
      one.submission.dueAtMs - other.submission.dueAtMs,
  );
  return ranked.map(({ submission }) => submission);
};

const placeItems = (
  turn: Turn,
  owned: OwnedWork,
  workers: readonly Worker[],
  submission: Submission,
): boolean => {
  const fullSteps = new Set<number>();
  for (const item of [...submission.ready]) {
    const waits =
      fullSteps.has(item.step) ||
      owned.heldItems.has(item.key) ||
      item.notBeforeMs > turn.nowMs ||
      !withinCeiling(turn, owned, item);
    if (!waits) {
      const worker = chooseWorker(workers, item, roomOf(item.spec));
      if (worker === null) {
        fullSteps.add(item.step);
      } else {
        planStart(turn, owned, worker, item);
      }
    }
  }
  return fullSteps.size === 0;
};

const dispatchPool = (turn: Turn, owned: OwnedWork, pool: PoolWork): void => {
  pool.dirty = false;
  const workers = [...pool.workers].filter((worker) => isUsable(turn, worker));
  if (workers.length === 0) {
    return;
  }
  let misses = 0;
  for (const submission of inOrder(turn, pool)) {
    if (poolOfSubmission(turn, submission.handIn) !== pool.id) {
      moveWaiting(owned, pool, submission, poolOfSubmission(turn, submission.handIn));
    } else if (!placeItems(turn, owned, workers, submission)) {
      misses += 1;
      if (misses >= MISSES_OF_A_PASS) {
        return;
      }
    }
  }
};

const moveWaiting = (
  owned: OwnedWork,
  from: PoolWork,
  submission: Submission,
  to: PoolId,
): void => {
  from.waiting.delete(submission);
  const pool = owned.pools.get(to);
  if (pool !== undefined) {
    pool.waiting.add(submission);
    pool.dirty = true;
  }
};

/** Starts what is ready and finds room, in every pool where something changed. */
export const dispatch = (turn: Turn, owned: OwnedWork): void => {
  if (!isSure(turn, owned)) {
    return;
  }
  for (const pool of owned.pools.values()) {
    if (pool.dirty && pool.waiting.size > 0) {
      dispatchPool(turn, owned, pool);
    }
  }
};

/** Stops runs that make no progress, so that they start elsewhere. */
export const stopStalled = (turn: Turn, owned: OwnedWork): void => {
  for (const worker of owned.workers.values()) {
    for (const run of worker.runs.values()) {
      const sinceMs = Math.max(run.percentSinceMs, run.orderedAtMs);
      const stalled =
        run.phase === RUN_PHASE.RUNNING &&
        run.pacePercent === 100 &&
        !(run.item.spec.lasting && run.percent >= 100) &&
        (worker.answeredAtMs ?? 0) > sinceMs + HEALTH.STALL_MS;
      if (stalled) {
        run.item.avoid = worker.report.id;
        worker.restsUntilMs = Math.max(worker.restsUntilMs, turn.nowMs + HEALTH.REST_MS);
        stopRun(turn, owned, run, "no progress");
      }
    }
  }
};

/** Marks pools whose workers rest or wait no longer, once a tick. */
export const recheckPools = (owned: OwnedWork): void => {
  for (const pool of owned.pools.values()) {
    pool.dirty ||= pool.waiting.size > 0;
  }
};
