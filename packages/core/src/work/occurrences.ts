import { queueById } from "./catalog.js";
import { ITEM_PHASE, ORDERING } from "./constants.js";
import type { Item, Occurrence, Submission } from "./state.js";
import type { Turn } from "./turn.js";
import { itemKeyOf, type Progress } from "./types.js";

/** @returns Objective of an occurrence, and when it is worth nothing any more, on our clock. */
const timesOf = (
  turn: Turn,
  { handIn, chainsMs }: Submission,
  number: number,
): { dueAtMs: number; worthlessAtMs: number } => {
  const queue = queueById(turn.work, handIn.queue);
  const { occurrences, firstDueWallMs, intervalMs } = handIn.work;
  const beginsWallMs =
    occurrences === 0 ? handIn.acceptedWallMs : firstDueWallMs + number * intervalMs;
  const beginsAtMs = turn.nowMs - Math.max(0, turn.wallMs - beginsWallMs);
  const objectiveMs =
    (queue?.stretchFactor ?? 1) * Math.max(0, ...chainsMs) + (queue?.targetDurationMs ?? 0);
  return {
    dueAtMs: beginsAtMs + objectiveMs,
    worthlessAtMs: beginsAtMs + ORDERING.WORTH_FACTOR * objectiveMs,
  };
};

const newItem = (
  submission: Submission,
  occurrence: number,
  step: number,
  index: number,
  inherited: boolean,
): Item => {
  const spec = submission.handIn.work.steps[step];
  if (spec === undefined) {
    throw new RangeError(`Submission ${submission.handIn.id} has no step ${step}`);
  }
  return {
    key: itemKeyOf(submission.handIn.id, occurrence, step, index),
    submission,
    occurrence,
    step,
    index,
    spec,
    phase: ITEM_PHASE.BLOCKED,
    failedRuns: new Set(),
    lastRun: 0,
    run: null,
    checkpoint: null,
    avoid: null,
    place: null,
    inherited,
  };
};

/** What is known of a submission from earlier owners. */
export interface KnownWork {
  /** What is written of it for good. */
  readonly progress: Progress | null;
  /** It was stored before this owner took over. */
  readonly inherited: boolean;
  /** The last occurrence that was begun; clocks of nodes differ, so it may lie in the future here. */
  readonly lastBegun: number;
}

export const NOTHING_KNOWN: KnownWork = { progress: null, inherited: false, lastBegun: -1 };

/** @returns The last occurrence of which something is written; -1 where nothing is. */
export const lastWritten = (progress: Progress | null): number =>
  Math.max(
    -1,
    ...[...Object.keys(progress?.done ?? {}), ...Object.keys(progress?.failures ?? {})].map((key) =>
      Number(key.split(".")[0]),
    ),
  );

/** @returns One time that the steps of a submission run. */
export const makeOccurrence = (
  turn: Turn,
  submission: Submission,
  number: number,
  { progress, inherited }: KnownWork,
): Occurrence => {
  const doneInStep: number[] = [];
  const steps = submission.handIn.work.steps.map((spec, step) => {
    const done = new Set(progress?.done[`${number}.${step}`] ?? []);
    doneInStep.push(done.size);
    return Array.from({ length: spec.count }, (_, index) => {
      const item = newItem(submission, number, step, index, inherited);
      item.phase = done.has(index) ? ITEM_PHASE.DONE : ITEM_PHASE.BLOCKED;
      for (const run of progress?.failures[`${number}.${step}.${index}`] ?? []) {
        item.failedRuns.add(run);
        item.lastRun = Math.max(item.lastRun, run);
      }
      return item;
    });
  });
  return { number, ...timesOf(turn, submission, number), steps, doneInStep };
};

/** @returns Whether all items of a step are done. */
export const stepIsDone = (occurrence: Occurrence, step: number): boolean =>
  occurrence.doneInStep[step] === occurrence.steps[step]?.length;
