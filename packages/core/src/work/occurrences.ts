import { queueById } from "./catalog.js";
import { ITEM_PHASE, ORDERING } from "./constants.js";
import type { Item, Occurrence, Submission } from "./state.js";
import type { Turn } from "./turn.js";
import { itemKeyOf, type Progress } from "./types.js";

/** Returns the deadline and the expiry of an occurrence, on this node's monotonic clock. */
const timesOf = (
  turn: Turn,
  { row, criticalPathsMs: pathsMs }: Submission,
  number: number,
): { dueAtMs: number; expiresAtMs: number } => {
  const queue = queueById(turn.work, row.queue);
  const { occurrences, firstDueWallMs, intervalMs } = row.work;
  const startWallMs = occurrences === 0 ? row.acceptedWallMs : firstDueWallMs + number * intervalMs;
  const startMs = turn.nowMs - Math.max(0, turn.wallMs - startWallMs);
  const targetDurationMs =
    (queue?.stretchFactor ?? 1) * Math.max(0, ...pathsMs) + (queue?.targetDurationMs ?? 0);
  return {
    dueAtMs: startMs + targetDurationMs,
    expiresAtMs: startMs + ORDERING.EXPIRY_FACTOR * targetDurationMs,
  };
};

const newItem = (
  submission: Submission,
  occurrence: number,
  step: number,
  index: number,
  inherited: boolean,
): Item => {
  const spec = submission.row.work.steps[step];
  if (spec === undefined) {
    throw new RangeError(
      `Submission ${submission.row.id} has no step ${step}; pass the index of one of its steps`,
    );
  }
  return {
    key: itemKeyOf(submission.row.id, occurrence, step, index),
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
    avoidWorker: null,
    reservedWorker: null,
    inherited,
  };
};

/** What previous owners have recorded of a submission. */
export interface SubmissionHistory {
  /** Its persisted progress, or null if there is none. */
  readonly progress: Progress | null;
  /** Whether it was stored before this owner acquired ownership. */
  readonly inherited: boolean;
  /**
   * Number of the last occurrence that has begun, or -1. The wall clocks of nodes differ, so it may
   * lie in the future on this node.
   */
  readonly lastStartedOccurrence: number;
}

export const NO_HISTORY: SubmissionHistory = {
  progress: null,
  inherited: false,
  lastStartedOccurrence: -1,
};

/** Returns the number of the last occurrence with persisted progress, or -1 if there is none. */
export const lastPersistedOccurrence = (progress: Progress | null): number =>
  Math.max(
    -1,
    ...[...Object.keys(progress?.done ?? {}), ...Object.keys(progress?.failures ?? {})].map((key) =>
      Number(key.split(".")[0]),
    ),
  );

/** Creates an occurrence of a submission with its items, as far as previous owners got with it. */
export const makeOccurrence = (
  turn: Turn,
  submission: Submission,
  number: number,
  { progress, inherited }: SubmissionHistory,
): Occurrence => {
  const doneInStep: number[] = [];
  const steps = submission.row.work.steps.map((spec, step) => {
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
  return { number, ...timesOf(turn, submission, number), steps, doneByStep: doneInStep };
};

/** Whether all items of a step are done. */
export const stepIsDone = (occurrence: Occurrence, step: number): boolean =>
  occurrence.doneByStep[step] === occurrence.steps[step]?.length;
