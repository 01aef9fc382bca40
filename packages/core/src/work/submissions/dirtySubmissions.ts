import type { OwnedWork, Submission } from "../state.js";

/** Marks a submission to be persisted with the next owner commit. */
export const markDirty = (owned: OwnedWork, submission: Submission): void => {
  submission.dirty = true;
  owned.dirtySubmissions.add(submission);
};
