import { queueById } from "../store/catalog.js";
import { ITEM_PHASE, ORDERING } from "../constants.js";
import type { Item, Occurrence, Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { ItemPlace } from "./progressLayout.js";
import { StepItems } from "./stepItems.js";
import { itemKeyOf, type Progress } from "../types.js";

/** Returns when an occurrence counts as begun for callers, on this node's monotonic clock. */
const startOf = (turn: Turn, { row, arrivedWallMs }: Submission, number: number): number => {
  const { occurrences, firstDueWallMs, intervalMs } = row.work;
  const startWallMs = occurrences === 0 ? arrivedWallMs : firstDueWallMs + number * intervalMs;
  return turn.nowMs - Math.max(0, turn.wallMs - startWallMs);
};

/** Returns the deadline and the expiry of an occurrence, on this node's monotonic clock. */
const deadlinesOf = (
  turn: Turn,
  { row, criticalPathsMs: pathsMs }: Submission,
  startMs: number,
): { dueAtMs: number; expiresAtMs: number } => {
  const queue = queueById(turn.work, row.queue);
  const targetDurationMs =
    (queue?.stretchFactor ?? 1) * Math.max(0, ...pathsMs) + (queue?.targetDurationMs ?? 0);
  return {
    dueAtMs: startMs + targetDurationMs,
    expiresAtMs: startMs + ORDERING.EXPIRY_FACTOR * targetDurationMs,
  };
};

/**
 * Creates an item.
 *
 * @throws RangeError if the submission has no such step.
 */
export const newItem = (submission: Submission, { occurrence, step, index }: ItemPlace): Item => {
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
    stalls: 0,
    avoidWorker: null,
    reservedWorker: null,
    inherited: submission.inherited,
  };
};

/** Returns the number of the last occurrence with persisted progress, or -1 if there is none. */
export const lastPersistedOccurrence = (progress: Progress | null): number =>
  Math.max(
    -1,
    ...[...Object.keys(progress?.done ?? {}), ...Object.keys(progress?.failures ?? {})].map((key) =>
      Number(key.split(".")[0]),
    ),
  );

/** Returns the items of a step, of which those that are done are known. */
const stepItems = (
  { layout, done }: Submission,
  occurrence: number,
  step: number,
  count: number,
): StepItems => {
  const items = new StepItems(count);
  const first = layout.numberOf({ occurrence, step, index: 0 });
  if (first !== null) {
    items.nextIndex = Math.min(count, Math.max(0, done.firstOpen - first));
    items.doneCount = done.countBetween(first, first + count);
  }
  return items;
};

/** Creates an occurrence of a submission, as far as previous owners got with it. */
export const makeOccurrence = (turn: Turn, submission: Submission, number: number): Occurrence => {
  const startMs = startOf(turn, submission, number);
  return {
    number,
    startMs,
    ...deadlinesOf(turn, submission, startMs),
    steps: submission.row.work.steps.map(({ count }, step) =>
      stepItems(submission, number, step, count),
    ),
  };
};

/** Computes the deadlines of a submission's occurrences anew after its critical paths changed. */
export const updateDeadlines = (turn: Turn, submission: Submission): void => {
  for (const occurrence of submission.occurrences.values()) {
    const { dueAtMs, expiresAtMs } = deadlinesOf(turn, submission, occurrence.startMs);
    occurrence.dueAtMs = dueAtMs;
    occurrence.expiresAtMs = expiresAtMs;
  }
};

/** Whether all steps of an occurrence are done. */
export const isOccurrenceDone = ({ steps }: Occurrence): boolean =>
  steps.every(({ isDone }) => isDone);
