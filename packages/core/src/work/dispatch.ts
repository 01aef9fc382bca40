import type { PoolId } from "@heatherferry/common";
import { queueById } from "./catalog.js";
import { HEALTH, ORDERING, RUN_PHASE, SUBMISSION_STATE } from "./constants.js";
import { planGang } from "./gangs.js";
import { isSure } from "./ownership.js";
import { roomOf, stopRun } from "./runs.js";
import { chooseWorker, withinCeiling } from "./placement.js";
import { nextRunNumber, planStart } from "./starts.js";
import type { OwnedWork, PoolWork, Submission, Worker } from "./state.js";
import { poolOfSubmission } from "./submissions.js";
import type { Turn } from "./turn.js";
import { isSilent } from "./leases.js";

/** Submissions of a pool that may find no room before a pass ends. */
const MISSES_OF_A_PASS = 12;

const isUsable = (turn: Turn, worker: Worker): boolean =>
  worker.listed &&
  worker.fenced &&
  !worker.unreachable &&
  worker.clock !== null &&
  !worker.report.draining &&
  !worker.reserved &&
  !worker.departed &&
  worker.restsUntilMs <= turn.nowMs &&
  worker.roomKnownAtMs <= turn.nowMs &&
  !isSilent(turn, worker);

/** @returns Whether a submission can no longer be done in time, even if it starts now. */
const isLate = (turn: Turn, submission: Submission): boolean => {
  const [first] = submission.ready;
  if (first === undefined || first.spec.lasting) {
    return false;
  }
  const chainMs = submission.chainsMs[first.step] ?? 0;
  // Estimates are rough, and work that is begun and ends late has taken room from other work.
  const begun = submission.state !== SUBMISSION_STATE.QUEUED;
  const neededMs = begun ? chainMs : chainMs * ORDERING.CHAIN_ROOM + ORDERING.START_MS;
  return turn.nowMs + neededMs > submission.dueAtMs;
};

interface Ranked {
  readonly submission: Submission;
  readonly priority: number;
  /** What earns its caller most goes first. */
  readonly rank: number;
}

/** In time, late, and beyond the team's right. */
const RANK = { IN_TIME: 0, LATE: 1, EXCESS: 2 } as const;

const rankOf = (turn: Turn, submission: Submission): number => {
  if (submission.excess) {
    return RANK.EXCESS;
  }
  return isLate(turn, submission) ? RANK.LATE : RANK.IN_TIME;
};

const inOrder = (turn: Turn, pool: PoolWork): readonly Submission[] => {
  const ranked: Ranked[] = [];
  for (const submission of pool.waiting) {
    if (submission.ready.size === 0) {
      pool.waiting.delete(submission);
    } else {
      const queue = queueById(turn.work.catalog, submission.handIn.queue);
      ranked.push({ submission, priority: queue?.priority ?? 0, rank: rankOf(turn, submission) });
    }
  }
  ranked.sort(
    (one, other) =>
      one.rank - other.rank ||
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
  const fullSteps = new Set<string>();
  const gangSteps = new Set<string>();
  for (const item of [...submission.ready]) {
    const step = `${item.occurrence}.${item.step}`;
    if (item.spec.gang) {
      if (!gangSteps.has(step) && !planGang(turn, owned, workers, item)) {
        fullSteps.add(step);
      }
      gangSteps.add(step);
      continue;
    }
    const waits =
      fullSteps.has(step) ||
      owned.heldItems.has(item.key) ||
      !withinCeiling(turn, owned, submission, item.spec);
    if (!waits) {
      const worker = chooseWorker(workers, item, roomOf(item.spec));
      if (worker === null) {
        fullSteps.add(step);
      } else {
        planStart(turn, owned, worker, item, nextRunNumber(owned, item));
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
