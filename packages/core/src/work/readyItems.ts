import type { Item, Submission } from "./state.js";

const count = (submission: Submission, step: number, sign: 1 | -1): void => {
  submission.readyInStep[step] = (submission.readyInStep[step] ?? 0) + sign;
  submission.backlog?.changed(submission);
};

/** Puts an item among those of its submission that wait for room. */
export const addReady = (item: Item): void => {
  const { ready } = item.submission;
  if (!ready.has(item)) {
    ready.add(item);
    count(item.submission, item.step, 1);
  }
};

/** An item waits for room no more. */
export const removeReady = (item: Item): void => {
  if (item.submission.ready.delete(item)) {
    count(item.submission, item.step, -1);
  }
};

/** Nothing of a submission waits for room any more. */
export const clearReady = (submission: Submission): void => {
  submission.ready.clear();
  submission.readyInStep.fill(0);
  submission.backlog?.changed(submission);
};
