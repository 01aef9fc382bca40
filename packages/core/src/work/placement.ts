import type { TeamId } from "@heatherferry/common";
import { teamById } from "./catalog.js";
import { STORE } from "./constants.js";
import { NO_ROOM, RESOURCES, roomOf } from "./room.js";
import type { Item, OwnedWork, Submission, Worker } from "./state.js";
import type { Turn } from "./turn.js";
import { stepNameOf, type Resources, type StepSpec } from "./types.js";

const fits = (worker: Worker, room: Resources): boolean => {
  const { capacity } = worker.report;
  return (
    worker.runs.size < STORE.MAX_RUNS_NAMED &&
    worker.usedCpuMilli + room.cpuMilli <= capacity.cpuMilli &&
    worker.usedMemoryMb + room.memoryMb <= capacity.memoryMb &&
    worker.usedGpus + room.gpus <= capacity.gpus
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
  for (const other of worker.promised) {
    count += isSameStep(item, other) ? 1 : 0;
  }
  for (const stray of worker.strays.values()) {
    count += stepNameOf(stray.item) === stepNameOf(item.key) ? 1 : 0;
  }
  return count;
};

/** @returns Whether an item may run on a worker, whatever room there is. */
export const mayRunOn = (worker: Worker, item: Item): boolean => {
  const { requiredLabel, maxPerWorker } = item.spec;
  return (
    (requiredLabel === null || worker.report.labels.includes(requiredLabel)) &&
    (maxPerWorker === null || sameStepItems(worker, item) < maxPerWorker)
  );
};

const disturbs = (worker: Worker, item: Item): boolean => {
  for (const { item: other } of worker.runs.values()) {
    if (item.spec.filler ? other.spec.tailTargetMs !== null : other.spec.filler) {
      return true;
    }
  }
  return false;
};

/** What speaks against a worker, in points. */
const AGAINST = {
  /** Its data is elsewhere. */
  OTHER_RACK: 10,
  /** A run of the item has just failed there. */
  FAILED_THERE: 5,
  /** It slows others down there, or others do it. */
  DISTURBED: 3,
} as const;

/** @returns What speaks against an item on a worker; null where it must not run there. */
const against = (worker: Worker, item: Item): number | null => {
  const { spec } = item;
  const { report } = worker;
  if (!mayRunOn(worker, item)) {
    return null;
  }
  let points = 0;
  if (spec.preferredRack !== null && report.rack !== spec.preferredRack) {
    points += AGAINST.OTHER_RACK;
  }
  if (report.id === item.avoid) {
    points += AGAINST.FAILED_THERE;
  }
  const sensitive = spec.filler || spec.tailTargetMs !== null;
  return sensitive && disturbs(worker, item) ? points + AGAINST.DISTURBED : points;
};

/** The worker that a search has found, and how many it has looked at. */
export interface Search {
  readonly worker: Worker | null;
  /** Some worker that takes work has room, whether or not the item may run there. */
  readonly fits: boolean;
  readonly lookedAt: number;
}

/**
 * Looks for the worker that suits an item best: full ones first, since empty ones can be lent or
 * turned off.
 *
 * @param workers - Those that may have room, the fullest first.
 * @param takesWork - Whether a worker takes new work now.
 */
export const chooseWorker = (
  workers: Iterable<Worker>,
  item: Item,
  takesWork: (worker: Worker) => boolean,
): Search => {
  const room = roomOf(item.spec);
  let best: Worker | null = null;
  let least = Infinity;
  let lookedAt = 0;
  let anyFits = false;
  for (const worker of workers) {
    lookedAt += 1;
    if (!fits(worker, room) || !takesWork(worker)) {
      continue;
    }
    anyFits = true;
    const points = against(worker, item);
    if (points !== null && points < least) {
      least = points;
      best = worker;
      if (points === 0) {
        break;
      }
    }
  }
  return { worker: best, fits: anyFits, lookedAt };
};

/** @returns Whether a team may have an item of the step running beside what it has. */
export const withinCeiling = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  { needs }: StepSpec,
): boolean => {
  const { team } = submission.handIn;
  const ceiling = teamById(turn.work, team)?.ceiling;
  if (team === null || ceiling === undefined) {
    return true;
  }
  const use = owned.teams.get(team) ?? NO_ROOM;
  const held = owned.heldUse.get(team) ?? NO_ROOM;
  const within = (resource: keyof Resources): boolean =>
    ceiling[resource] === 0 ||
    use[resource] + held[resource] + needs[resource] <= ceiling[resource];
  return within("cpuMilli") && within("memoryMb") && within("gpus");
};

/** @returns Whether a team has half of what it may have running, or more. */
export const nearsCeiling = (turn: Turn, owned: OwnedWork, team: TeamId | null): boolean => {
  const ceiling = teamById(turn.work, team)?.ceiling;
  const use = team === null ? undefined : owned.teams.get(team);
  return (
    ceiling !== undefined &&
    use !== undefined &&
    RESOURCES.some((resource) => ceiling[resource] > 0 && use[resource] >= ceiling[resource] / 2)
  );
};
