import type { TeamId, ValueOf } from "@heatherferry/common";
import { countSteps } from "../handlingCost.js";
import { hasRoomForFailure } from "../submissions/failedRuns.js";
import { planGang } from "./gangs.js";
import { findWorker, reserveFutureCapacity, freeReservedWorker } from "./capacityReservations.js";
import { withinCeiling } from "./placement.js";
import { RESOURCES, reservedResources, releaseCapacity } from "../workers/workerResources.js";
import { nextRunNumber, planStart } from "./starts.js";
import type { Item, OwnedWork, PoolWork, Submission, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { Resources, StepSpec } from "../types.js";

/** Resources that no worker with a label has free; a null label stands for any worker. */
interface Unavailable {
  readonly needs: Resources;
  readonly label: string | null;
}

/** What a placement pass over the backlog of a pool has found so far. */
export interface PlacementPass {
  readonly pool: PoolWork;
  /**
   * Resources that no worker has free, whatever else an item requires. Free capacity only shrinks
   * during a pass, so they remain unavailable until it ends.
   */
  readonly unavailable: Unavailable[];
  /** Resources that no worker will have free after its batch work has ended. */
  readonly unavailableLater: Unavailable[];
  /** Number of workers that unsuccessful searches have examined. */
  fruitlessChecks: number;
  /** Number of submissions that the resource ceiling of their team held back, by team. */
  readonly atCeiling: Map<TeamId | null, number>;
}

/** Why items of a submission were not placed. */
export const SHORTAGE = {
  NONE: "none",
  CAPACITY: "capacity",
  CEILING: "ceiling",
} as const;

export type Shortage = ValueOf<typeof SHORTAGE>;

const fitsNowhere = (unavailable: readonly Unavailable[], spec: StepSpec): boolean => {
  const needs = reservedResources(spec);
  return unavailable.some(
    ({ needs: least, label }) =>
      (label === null || label === spec.requiredLabel) &&
      RESOURCES.every((resource) => needs[resource] >= least[resource]),
  );
};

const lacksLabel = ({ capacityIndex }: PoolWork, { requiredLabel }: StepSpec): boolean =>
  requiredLabel !== null && !capacityIndex.hasLabel(requiredLabel);

/** Returns the worker on which an item can start now, or null if it has to wait. */
const findWorkerFor = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  item: Item,
): Worker | null => {
  const reserved = freeReservedWorker(turn, owned, item);
  const { spec } = item;
  if (reserved !== null || lacksLabel(pass.pool, spec) || fitsNowhere(pass.unavailable, spec)) {
    return reserved;
  }
  const { worker, fits, workersChecked: checked } = findWorker(turn, owned, pass.pool, item);
  pass.fruitlessChecks += worker === null ? checked : 0;
  const needs = reservedResources(spec);
  if (!fits) {
    pass.unavailable.push({ needs, label: null });
  } else if (worker === null && spec.requiredLabel !== null && spec.maxPerWorker === null) {
    pass.unavailable.push({ needs, label: spec.requiredLabel });
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
    spec.lasting &&
    item.reservedWorker === null &&
    !lacksLabel(pass.pool, spec) &&
    !fitsNowhere(pass.unavailableLater, spec);
  if (
    mayReserve &&
    !reserveFutureCapacity(turn, owned, pass.pool, item) &&
    spec.maxPerWorker === null
  ) {
    pass.unavailableLater.push({ needs: reservedResources(spec), label: spec.requiredLabel });
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
  const { readyByStep, obstacles } = submission;
  const steps = readyByStep.filter((ready, step) => ready > 0 && !obstacles.has(step)).length;
  return full.size + atCeiling.size >= steps;
};

/** Whether the progress row of a submission has room for what comes of an item. */
export const mayFail = (submission: Submission, item: Item): boolean =>
  item.spec.lasting || hasRoomForFailure(submission, item, item.spec.gang ? item.spec.count : 1);

/**
 * Places the ready items of a submission.
 *
 * @returns Why some of them were not placed.
 */
export const placeItems = (
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
    if (submission.obstacles.has(item.step) || !mayFail(submission, item)) {
      continue;
    }
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

/** Begins a placement pass over the backlog of a pool. */
export const newPlacementPass = (pool: PoolWork): PlacementPass => ({
  pool,
  unavailable: [],
  unavailableLater: [],
  fruitlessChecks: 0,
  atCeiling: new Map(),
});
