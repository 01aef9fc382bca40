import type { TeamId } from "@heatherferry/common";
import { teamById } from "../store/catalog.js";
import { STORE } from "../constants.js";
import { NO_RESOURCES, RESOURCES, reservedResources } from "../workers/workerResources.js";
import type { Item, OwnedWork, Submission, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import { stepKeyOf, type Resources, type StepSpec } from "../types.js";

/** Whether a worker has the capacity for an item now, whether it accepts work or not. */
export const hasRoomFor = (worker: Worker, needs: Resources): boolean => {
  const { capacity } = worker.report;
  return (
    worker.runs.size + worker.orphanedRuns.size < STORE.MAX_RUNS_PER_WORKER &&
    worker.recordedItems < STORE.MAX_RUNS_PER_WORKER &&
    worker.usedCpuMilli + needs.cpuMilli <= capacity.cpuMilli &&
    worker.usedMemoryMb + needs.memoryMb <= capacity.memoryMb &&
    worker.usedGpus + needs.gpus <= capacity.gpus
  );
};

const isSameStep = (item: Item, other: Item): boolean =>
  other !== item &&
  other.submission === item.submission &&
  other.step === item.step &&
  other.occurrence === item.occurrence;

const sameStepItems = (worker: Worker, item: Item): number => {
  let count = 0;
  for (const run of worker.runs.values()) {
    count += isSameStep(item, run.item) ? 1 : 0;
  }
  for (const other of worker.reservedItems) {
    count += isSameStep(item, other) ? 1 : 0;
  }
  for (const orphan of worker.orphanedRuns.values()) {
    count += stepKeyOf(orphan.item) === stepKeyOf(item.key) ? 1 : 0;
  }
  return count;
};

/** Whether a worker meets an item's label and its limit per worker, regardless of free capacity. */
export const mayRunOn = (worker: Worker, item: Item): boolean => {
  const { requiredLabel, maxPerWorker } = item.spec;
  return (
    (requiredLabel === null || worker.report.labels.includes(requiredLabel)) &&
    (maxPerWorker === null || sameStepItems(worker, item) < maxPerWorker)
  );
};

/** Whether an item and a run on the worker would slow each other down. */
const interferes = (worker: Worker, item: Item): boolean => {
  for (const { item: other } of worker.runs.values()) {
    if (item.spec.filler ? other.spec.tailTargetMs !== null : other.spec.filler) {
      return true;
    }
  }
  return false;
};

/** Penalties of a worker for an item; the worker with the lowest sum is chosen. */
const PENALTY = {
  /** The item's data is on another rack. */
  OTHER_RACK: 10,
  /** The item's last run failed on it. */
  FAILED_BEFORE: 5,
  /** Latency-sensitive and filler runs would share it and slow each other down. */
  INTERFERENCE: 3,
  /** It is slow for some time after its start. */
  COLD: 2,
} as const;

/** Returns the penalty of a worker for an item, or null if the item must not run there. */
const penaltyFor = (worker: Worker, item: Item, nowMs: number): number | null => {
  const { spec } = item;
  const { report } = worker;
  if (!mayRunOn(worker, item)) {
    return null;
  }
  let penalty = 0;
  if (spec.preferredRack !== null && report.rack !== spec.preferredRack) {
    penalty += PENALTY.OTHER_RACK;
  }
  if (report.id === item.avoidWorker) {
    penalty += PENALTY.FAILED_BEFORE;
  }
  if (worker.coldUntilMs > nowMs) {
    penalty += PENALTY.COLD;
  }
  const sensitive = spec.filler || spec.tailTargetMs !== null;
  return sensitive && interferes(worker, item) ? penalty + PENALTY.INTERFERENCE : penalty;
};

/** Result of a search for a worker. */
export interface WorkerSearch {
  /** The worker found, or null. */
  readonly worker: Worker | null;
  /** Whether a worker that accepts work has the capacity, even if the item must not run there. */
  readonly fits: boolean;
  /** Number of workers examined. */
  readonly workersChecked: number;
}

/**
 * Searches for the worker with the lowest penalty for an item. Among equals the fullest one wins,
 * since empty workers can move to another pool or be turned off.
 *
 * @param workers - Workers that may have the capacity, the fullest first.
 * @param nowMs - The present time on the owner's monotonic clock.
 * @param acceptsWork - Whether a worker accepts new work now.
 */
export const chooseWorker = (
  workers: Iterable<Worker>,
  item: Item,
  nowMs: number,
  acceptsWork: (worker: Worker) => boolean,
): WorkerSearch => {
  const needs = reservedResources(item.spec);
  let best: Worker | null = null;
  let lowestPenalty = Infinity;
  let checked = 0;
  let anyFits = false;
  for (const worker of workers) {
    checked += 1;
    if (!hasRoomFor(worker, needs) || !acceptsWork(worker)) {
      continue;
    }
    anyFits = true;
    const penalty = penaltyFor(worker, item, nowMs);
    if (penalty !== null && penalty < lowestPenalty) {
      lowestPenalty = penalty;
      best = worker;
      if (penalty === 0) {
        break;
      }
    }
  }
  return { worker: best, fits: anyFits, workersChecked: checked };
};

/** Whether another running item of the step keeps a team within its resource ceiling. */
export const withinCeiling = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  { needs }: StepSpec,
): boolean => {
  const { team } = submission.row;
  const ceiling = teamById(turn.work, team)?.ceiling;
  if (team === null || ceiling === undefined) {
    return true;
  }
  const use = owned.teams.get(team) ?? NO_RESOURCES;
  const withheld = owned.withheldUse.get(team) ?? NO_RESOURCES;
  const within = (resource: keyof Resources): boolean =>
    ceiling[resource] === 0 ||
    use[resource] + withheld[resource] + needs[resource] <= ceiling[resource];
  return within("cpuMilli") && within("memoryMb") && within("gpus");
};

/** Whether a team uses at least half of its resource ceiling. */
export const nearsCeiling = (turn: Turn, owned: OwnedWork, team: TeamId | null): boolean => {
  const ceiling = teamById(turn.work, team)?.ceiling;
  const use = team === null ? undefined : owned.teams.get(team);
  return (
    ceiling !== undefined &&
    use !== undefined &&
    RESOURCES.some((resource) => ceiling[resource] > 0 && use[resource] >= ceiling[resource] / 2)
  );
};
