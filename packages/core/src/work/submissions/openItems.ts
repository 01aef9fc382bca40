import { KeyedHeap } from "@heatherferry/coordination";
import { ITEM_PHASE, ITEM_WINDOW } from "../constants.js";
import { newItem } from "./occurrences.js";
import { poolOf } from "../hosts/pools.js";
import { addReady } from "./readyItems.js";
import { hasEnded, poolOfSubmission } from "./submissionStates.js";
import type { Item, Occurrence, OwnedWork, Submission } from "../state.js";
import type { StepItems } from "./stepItems.js";
import type { Turn } from "../turn.js";
import type { ItemKey, StepSpec, SubmissionId } from "../types.js";

/** A step whose items may run and are not all open yet. */
export interface UnopenedStep {
  readonly occurrence: Occurrence;
  readonly step: number;
}

/** Steps by the number of their first item. */
export class UnopenedSteps extends KeyedHeap<UnopenedStep, number> {
  protected override isBefore(one: number, other: number): boolean {
    return one < other;
  }
}

/** Adds an item to the backlog of its pool, where it waits for capacity. */
export const makeReady = (turn: Turn, owned: OwnedWork, item: Item): void => {
  const { submission } = item;
  item.phase = ITEM_PHASE.READY;
  addReady(item);
  const pool = poolOf(owned, poolOfSubmission(turn, submission.row));
  pool.backlog.add(submission);
  pool.dirty = true;
};

/** Whether all steps that a step depends on are done. */
export const isUnblocked = (occurrence: Occurrence, { after }: StepSpec): boolean =>
  after.every((earlier) => occurrence.steps[earlier]?.isDone ?? true);

/** Opens an item, which is in memory then; returns null if it is open already, or done. */
const open = (
  owned: OwnedWork,
  submission: Submission,
  { number, steps }: Occurrence,
  step: number,
  index: number,
): Item | null => {
  const items = steps[step];
  const place = { occurrence: number, step, index };
  const progressNumber = submission.layout.numberOf(place);
  const isDone = progressNumber !== null && submission.done.has(progressNumber);
  if (items === undefined || isDone || items.get(index) !== null) {
    return null;
  }
  const item = newItem(submission, place);
  items.add(item);
  submission.openCount += 1;
  owned.openItemCount += 1;
  return item;
};

/** Forgets an item that is done. */
export const closeItem = (owned: OwnedWork, items: StepItems, item: Item): void => {
  items.close(item.index);
  item.submission.openCount -= 1;
  owned.openItemCount -= 1;
};

/** Forgets the items of a submission that has ended. */
export const closeAllItems = (owned: OwnedWork, submission: Submission): void => {
  owned.openItemCount -= submission.openCount;
  submission.openCount = 0;
  submission.occurrences.clear();
  submission.failing.clear();
  submission.unopened = new UnopenedSteps();
  owned.awaitingItemRoom.delete(submission);
};

const openAndMakeReady = (
  turn: Turn,
  owned: OwnedWork,
  { occurrence, step }: UnopenedStep,
  index: number,
  submission: Submission,
): void => {
  const known = occurrence.steps[step]?.get(index) ?? null;
  // An item that was opened out of its order, for a run of it, has waited for its step.
  const item =
    known?.phase === ITEM_PHASE.BLOCKED && known.run === null
      ? known
      : open(owned, submission, occurrence, step, index);
  if (item !== null) {
    makeReady(turn, owned, item);
  }
};

/**
 * Whether the next items of a step may be opened: the progress row and the memory have room for a
 * limited number of items between the first that is not done and the last that may run.
 */
const mayOpen = (
  owned: OwnedWork,
  submission: Submission,
  { occurrence, step }: UnopenedStep,
  items: StepItems,
  spec: StepSpec,
): boolean => {
  const { layout, done, openCount } = submission;
  const last = spec.gang ? items.count - 1 : items.nextIndex;
  const number = layout.numberOf({ occurrence: occurrence.number, step, index: last }) ?? 0;
  if (number >= done.firstOpen + ITEM_WINDOW.MAX_SPAN) {
    return false;
  }
  const hasRoom =
    owned.openItemCount < ITEM_WINDOW.MAX_OPEN || openCount < ITEM_WINDOW.MIN_OPEN_EACH;
  if (!hasRoom) {
    owned.awaitingItemRoom.add(submission);
  }
  return hasRoom;
};

/** Opens the next items of a submission, in their order, as far as there is room for them. */
export const openItems = (turn: Turn, owned: OwnedWork, submission: Submission): void => {
  const { unopened, row } = submission;
  for (let next = unopened.first(); next !== null; next = unopened.first()) {
    const items = next.occurrence.steps[next.step];
    const spec = row.work.steps[next.step];
    if (items === undefined || spec === undefined || items.nextIndex >= items.count) {
      unopened.delete(next);
      continue;
    }
    if (!mayOpen(owned, submission, next, items, spec)) {
      return;
    }
    const until = spec.gang ? items.count : items.nextIndex + 1;
    while (items.nextIndex < until) {
      openAndMakeReady(turn, owned, next, items.nextIndex, submission);
      items.nextIndex += 1;
    }
  }
};

/** Goes on to open items of submissions that had to wait, the longest waiting one first. */
export const openWaitingItems = (turn: Turn, owned: OwnedWork): void => {
  for (const submission of [...owned.awaitingItemRoom]) {
    owned.awaitingItemRoom.delete(submission);
    openItems(turn, owned, submission);
  }
};

/** Lets the items run of each step whose dependencies are done. */
export const unblockSteps = (
  turn: Turn,
  owned: OwnedWork,
  submission: Submission,
  occurrence: Occurrence,
): void => {
  submission.row.work.steps.forEach((spec, step) => {
    const items = occurrence.steps[step];
    if (items === undefined || items.isUnblocked || !isUnblocked(occurrence, spec)) {
      return;
    }
    items.isUnblocked = true;
    const unopened = { occurrence, step };
    const place = { occurrence: occurrence.number, step, index: 0 };
    const number = submission.layout.numberOf(place);
    if (number !== null) {
      submission.unopened.set(unopened, number);
      return;
    }
    for (let index = 0; index < items.count; index += 1) {
      openAndMakeReady(turn, owned, unopened, index, submission);
    }
  });
  openItems(turn, owned, submission);
};

/**
 * Returns the item with a key, which is opened out of its order if a previous owner has started it.
 *
 * @returns Null if the owner does not manage its submission, or if it is done or has no place there.
 */
export const itemForRun = (turn: Turn, owned: OwnedWork, key: ItemKey): Item | null => {
  const [id, ...place] = key.split(".");
  const [number = -1, step = -1, index = -1] = place.map(Number);
  const submission = owned.submissions.get(id as SubmissionId);
  const occurrence = submission?.occurrences.get(number);
  const items = occurrence?.steps[step];
  if (submission === undefined || occurrence === undefined || items === undefined) {
    return null;
  }
  const known = items.get(index);
  if (known !== null || hasEnded(submission.state) || !(index >= 0 && index < items.count)) {
    return known;
  }
  const item = open(owned, submission, occurrence, step, index);
  if (item !== null && items.isUnblocked) {
    makeReady(turn, owned, item);
  }
  return item;
};
