import type { TeamId } from "@heatherferry/common";
import type { Item, OwnedWork } from "../state.js";
import type { SubmissionRow, ItemKey, StepSpec, SubmissionId } from "../types.js";

const rowOf = (owned: OwnedWork, key: ItemKey): SubmissionRow | null =>
  owned.submissions.get(key.split(".")[0] as SubmissionId)?.row ?? null;

/**
 * Returns the specification of an item's step, also after its submission has ended, or null if the
 * submission is unknown.
 */
export const specOf = (owned: OwnedWork, key: ItemKey): StepSpec | null =>
  rowOf(owned, key)?.work.steps[Number(key.split(".")[2])] ?? null;

/**
 * Returns the team of an item, also after its submission has ended, or null if the submission is
 * unknown or belongs to no team.
 */
export const teamOf = (owned: OwnedWork, key: ItemKey): TeamId | null =>
  rowOf(owned, key)?.team ?? null;

/** Returns the item with a key, or null if it is not open. */
export const findItem = (owned: OwnedWork, key: ItemKey): Item | null => {
  const [id, occurrence, step, index] = key.split(".");
  const begun = owned.submissions.get(id as SubmissionId)?.occurrences.get(Number(occurrence));
  return begun?.steps[Number(step)]?.get(Number(index)) ?? null;
};
