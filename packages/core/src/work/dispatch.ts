import type { PoolId } from "@heatherferry/common";
import { HEALTH, RUN_PHASE } from "./constants.js";
import { lookedAt } from "./effort.js";
import { planGang } from "./gangs.js";
import { isSure } from "./certainty.js";
import { poolOf } from "./pools.js";
import { findRoom, usableWorkers } from "./places.js";
import { withinCeiling } from "./placement.js";
import { withdrawRoom } from "./room.js";
import { stopRun } from "./runs.js";
import { inOrder } from "./ranking.js";
import { nextRunNumber, planStart } from "./starts.js";
import type { OwnedWork, PoolWork, Submission, Worker } from "./state.js";
import { poolOfSubmission } from "./submissions.js";
import type { Turn } from "./turn.js";

/** Submissions of a pool that may find no room before a pass ends. */
const MISSES_OF_A_PASS = 12;

const placeItems = (
  turn: Turn,
  owned: OwnedWork,
  workers: readonly Worker[],
  submission: Submission,
): boolean => {
  const fullSteps = new Set<string>();
  const gangSteps = new Set<string>();
  lookedAt(turn, submission.ready.size);
  for (const item of [...submission.ready]) {
    const step = `${item.occurrence}.${item.step}`;
    if (item.spec.gang) {
      if (!gangSteps.has(step) && !planGang(turn, owned, workers, item)) {
        fullSteps.add(step);
      }
      gangSteps.add(step);
      continue;
    }
    if (owned.heldItems.has(item.key) || !withinCeiling(turn, owned, submission, item.spec)) {
      withdrawRoom(owned, item);
    } else if (item.place !== null || !fullSteps.has(step)) {
      const worker = findRoom(turn, owned, workers, item);
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
  const workers = usableWorkers(turn, owned, pool);
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
  const pool = poolOf(owned, to);
  pool.waiting.add(submission);
  pool.dirty = true;
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
    lookedAt(turn, 1 + worker.runs.size);
    for (const run of worker.runs.values()) {
      const sinceMs = Math.max(run.percentSinceMs, run.orderedAtMs);
      const stalled =
        run.phase === RUN_PHASE.RUNNING &&
        run.pacePercent === 100 &&
        !(run.item.spec.lasting && run.percent >= 100) &&
        (worker.lookedAtMs ?? 0) > sinceMs + HEALTH.STALL_MS;
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
