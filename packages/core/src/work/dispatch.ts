import type { PoolId, TeamId, ValueOf } from "@heatherferry/common";
import { hostCapacity } from "./arrivals.js";
import { PLACEMENT, STORE } from "./constants.js";
import { countSteps } from "./handlingCost.js";
import { planGang } from "./gangs.js";
import { isSubmissionViewFresh, isOwnershipConfirmed } from "./ownershipConfirmation.js";
import { poolOf } from "./pools.js";
import { findWorker, reserveFutureCapacity, freeReservedWorker } from "./capacityReservations.js";
import { nearsCeiling, withinCeiling } from "./placement.js";
import { RESOURCES, reservedResources, releaseCapacity } from "./workerResources.js";
import { nextRunNumber, planStart } from "./starts.js";
import type { Item, OwnedWork, PoolWork, Submission, Worker } from "./state.js";
import { poolOfSubmission } from "./submissions.js";
import type { Turn } from "./turn.js";
import type { Resources, StepSpec } from "./types.js";
import { BacklogPass } from "./backlog.js";

/** What a placement pass over the backlog of a pool has found so far. */
interface PlacementPass {
  readonly pool: PoolWork;
  /**
   * Resources that no worker has free, whatever else an item requires. Free capacity only shrinks
   * during a pass, so they remain unavailable until it ends.
   */
  readonly unavailable: Resources[];
  /** Resources that no worker will have free after its batch work has ended. */
  readonly unavailableLater: Resources[];
  /** Number of workers that unsuccessful searches have examined. */
  fruitlessChecks: number;
  /** Number of submissions that the resource ceiling of their team held back, by team. */
  readonly atCeiling: Map<TeamId | null, number>;
}

/** Why items of a submission were not placed. */
const SHORTAGE = {
  NONE: "none",
  CAPACITY: "capacity",
  CEILING: "ceiling",
} as const;

type Shortage = ValueOf<typeof SHORTAGE>;

const fitsNowhere = (unavailable: readonly Resources[], spec: StepSpec): boolean => {
  const needs = reservedResources(spec);
  return unavailable.some((resources) =>
    RESOURCES.every((resource) => needs[resource] >= resources[resource]),
  );
};

/** Returns the worker on which an item can start now, or null if it has to wait. */
const findWorkerFor = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  item: Item,
): Worker | null => {
  const reserved = freeReservedWorker(turn, owned, item);
  if (reserved !== null || fitsNowhere(pass.unavailable, item.spec)) {
    return reserved;
  }
  const { worker, fits, workersChecked: checked } = findWorker(turn, owned, pass.pool, item);
  pass.fruitlessChecks += worker === null ? checked : 0;
  if (!fits) {
    pass.unavailable.push(reservedResources(item.spec));
  }
  return worker;
};

/**
 * Plans the start of an item on a worker with free capacity. If there is none, reserves capacity
 * that becomes free later for a long-running item.
 *
 * @returns Whether a start was planned.
 */
const placeItem = (turn: Turn, owned: OwnedWork, pass: PlacementPass, item: Item): boolean => {
  const { spec } = item;
  const worker = findWorkerFor(turn, owned, pass, item);
  if (worker !== null) {
    planStart(turn, owned, worker, item, nextRunNumber(owned, item));
    return true;
  }
  const mayReserve =
    spec.lasting && item.reservedWorker === null && !fitsNowhere(pass.unavailableLater, spec);
  if (
    mayReserve &&
    !reserveFutureCapacity(turn, owned, pass.pool, item) &&
    spec.maxPerWorker === null
  ) {
    pass.unavailableLater.push(reservedResources(spec));
  }
  return false;
};

/** Steps of a submission whose other items are not tried again in this pass. */
interface SkippedSteps {
  /** No worker has free capacity now. */
  readonly full: Set<string>;
  /** No worker has capacity to reserve for a long-running item either. */
  readonly fullLater: Set<string>;
  /** Their team has reached its resource ceiling. */
  readonly atCeiling: Set<string>;
  /** Gangs that were tried, successfully or not. */
  readonly gangs: Set<string>;
}

/** Places an item, or records why its step is skipped for the rest of the pass. */
const placeOrSkip = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  skipped: SkippedSteps,
  item: Item,
): void => {
  const step = `${item.occurrence}.${item.step}`;
  if (item.spec.gang) {
    if (!skipped.gangs.has(step) && !planGang(turn, owned, pass.pool, item)) {
      skipped.full.add(step);
    }
    skipped.gangs.add(step);
  } else if (owned.withheldItems.has(item.key)) {
    releaseCapacity(owned, item);
  } else if (
    skipped.atCeiling.has(step) ||
    !withinCeiling(turn, owned, item.submission, item.spec)
  ) {
    releaseCapacity(owned, item);
    skipped.atCeiling.add(step);
  } else {
    const full = item.spec.lasting ? skipped.fullLater : skipped.full;
    if ((item.reservedWorker !== null || !full.has(step)) && !placeItem(turn, owned, pass, item)) {
      skipped.full.add(step);
      if (item.reservedWorker === null) {
        skipped.fullLater.add(step);
      }
    }
  }
};

/**
 * Whether all steps of a submission are skipped, so that its other items need not be examined.
 * Returns false for long-running items, gangs and submissions with several occurrences.
 */
const allStepsSkipped = (
  submission: Submission,
  item: Item,
  { full, atCeiling }: SkippedSteps,
): boolean => {
  if (item.spec.lasting || item.spec.gang || submission.occurrences.size > 1) {
    return false;
  }
  const steps = submission.readyByStep.reduce((sum, ready) => sum + (ready > 0 ? 1 : 0), 0);
  return full.size + atCeiling.size >= steps;
};

/**
 * Places the ready items of a submission.
 *
 * @returns Why some of them were not placed.
 */
const placeItems = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  submission: Submission,
): Shortage => {
  const skipped: SkippedSteps = {
    full: new Set(),
    fullLater: new Set(),
    atCeiling: new Set(),
    gangs: new Set(),
  };
  for (const item of submission.ready) {
    countSteps(turn, 1);
    placeOrSkip(turn, owned, pass, skipped, item);
    if (allStepsSkipped(submission, item, skipped)) {
      break;
    }
  }
  if (skipped.full.size > 0) {
    return SHORTAGE.CAPACITY;
  }
  return skipped.atCeiling.size > 0 ? SHORTAGE.CEILING : SHORTAGE.NONE;
};

/**
 * Counts a submission that was held back by its team's resource ceiling.
 *
 * A team that is far from its ceiling only exceeds it by single large items. Its other work must
 * not wait for these, so more submissions are tried before the rest is left out of the pass.
 *
 * @returns Whether the rest of the team's backlog is left out of the pass.
 */
const skipsRestOfTeam = (
  turn: Turn,
  owned: OwnedWork,
  { atCeiling }: PlacementPass,
  { row }: Submission,
): boolean => {
  const times = (atCeiling.get(row.team) ?? 0) + 1;
  atCeiling.set(row.team, times);
  const near = nearsCeiling(turn, owned, row.team);
  return times >= (near ? PLACEMENT.MAX_CAPPED : PLACEMENT.MAX_CAPPED_BELOW_CEILING);
};

/**
 * Makes one placement pass over the backlog of a pool, in its order. The number of starts, searches
 * and submissions of a pass is limited; a later pass handles the rest.
 */
const placeInPool = (turn: Turn, owned: OwnedWork, pool: PoolWork, maxStarts: number): void => {
  const startsBefore = owned.plannedStarts.length;
  const isFull = (): boolean => owned.plannedStarts.length - startsBefore >= maxStarts;
  pool.dirty = false;
  pool.backlog.refresh(turn, hostCapacity(pool));
  const pass: PlacementPass = {
    pool,
    unavailable: [],
    unavailableLater: [],
    fruitlessChecks: 0,
    atCeiling: new Map(),
  };
  const backlogPass = new BacklogPass(pool.backlog);
  let tried = 0;
  let submission = backlogPass.next();
  while (
    submission !== null &&
    !isFull() &&
    pass.fruitlessChecks < PLACEMENT.MAX_FRUITLESS_CHECKS &&
    tried < PLACEMENT.MAX_SUBMISSIONS
  ) {
    tried += 1;
    const to = poolOfSubmission(turn, submission.row);
    if (to === pool.id) {
      const shortage = placeItems(turn, owned, pass, submission);
      if (shortage === SHORTAGE.CEILING && skipsRestOfTeam(turn, owned, pass, submission)) {
        backlogPass.skipTeam();
      }
    } else {
      moveToPool(owned, submission, to);
    }
    submission = backlogPass.next();
  }
  backlogPass.end();
  pool.dirty = isFull() || tried >= PLACEMENT.MAX_SUBMISSIONS;
};

/** Moves a waiting submission to the backlog of the pool that its queue now belongs to. */
const moveToPool = (owned: OwnedWork, submission: Submission, to: PoolId): void => {
  const pool = poolOf(owned, to);
  pool.backlog.add(submission);
  pool.dirty = true;
};

const poolsToPlaceIn = (owned: OwnedWork): PoolWork[] =>
  [...owned.pools.values()].filter((pool) => pool.dirty && pool.backlog.size > 0);

/** Whether a pool with a backlog has changed since its last placement pass. */
export const hasWorkToPlace = (owned: OwnedWork): boolean => poolsToPlaceIn(owned).length > 0;

/**
 * Plans starts of waiting work in every pool that has changed. The number of starts that may wait
 * for the next owner commit is divided equally among these pools.
 */
export const dispatch = (turn: Turn, owned: OwnedWork): void => {
  const pools = poolsToPlaceIn(owned);
  const left = STORE.MAX_PLANNED_STARTS - owned.plannedStarts.length;
  if (left <= 0 || !isOwnershipConfirmed(turn, owned) || !isSubmissionViewFresh(turn)) {
    return;
  }
  for (const pool of pools) {
    placeInPool(turn, owned, pool, Math.ceil(left / pools.length));
  }
};

/**
 * Marks all pools with a backlog for another placement pass, because suspensions of workers may
 * have ended and teams may be below their resource ceilings again.
 */
export const markBacklogsChanged = (owned: OwnedWork): void => {
  for (const pool of owned.pools.values()) {
    pool.dirty ||= pool.backlog.size > 0;
  }
};
