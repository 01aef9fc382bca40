import type { Item, Submission } from "../state.js";

const adjustReadyCount = (submission: Submission, step: number, sign: 1 | -1): void => {
  submission.readyByStep[step] = (submission.readyByStep[step] ?? 0) + sign;
  submission.backlog?.markChanged(submission);
};

/** Adds an item to those of its submission that wait for capacity. */
export const addReady = (item: Item): void => {
  const { ready } = item.submission;
  if (!ready.has(item)) {
    ready.add(item);
    adjustReadyCount(item.submission, item.step, 1);
  }
};

/** Removes an item from those of its submission that wait for capacity. */
export const removeReady = (item: Item): void => {
  if (item.submission.ready.delete(item)) {
    adjustReadyCount(item.submission, item.step, -1);
  }
};

/** Removes all items of a submission from those that wait for capacity. */
export const clearReady = (submission: Submission): void => {
  submission.ready.clear();
  submission.readyByStep.fill(0);
  submission.backlog?.markChanged(submission);
};
