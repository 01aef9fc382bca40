import { SUBMISSION_LIMIT } from "../constants.js";
import { ProgressLayout } from "../submissions/progressLayout.js";
import { storedBytes } from "../store/storedSize.js";
import type { SubmissionRow, WorkSpec } from "../types.js";

const lastingItems = ({ steps, occurrences }: WorkSpec): number =>
  Math.max(1, occurrences) *
  steps.reduce((sum, { lasting, count }) => sum + (lasting ? count : 0), 0);

/**
 * Returns why a submission can never be held, and what to do about it; null if it can. It must be
 * refused before it is stored, since an owner can neither run it nor end it.
 */
export const limitExceededBy = (row: SubmissionRow): string | null => {
  const { steps, occurrences } = row.work;
  const { GANG_ITEMS, LASTING_ITEMS, ITEMS, ROW_BYTES } = SUBMISSION_LIMIT;
  if (steps.some(({ gang, count }) => gang && count > GANG_ITEMS)) {
    return `a gang has more than ${GANG_ITEMS} items; hand in smaller gangs`;
  }
  if (lastingItems(row.work) > LASTING_ITEMS) {
    return `more than ${LASTING_ITEMS} items last; hand them in as several submissions`;
  }
  const { itemsPerOccurrence } = new ProgressLayout(row.work);
  if (itemsPerOccurrence * Math.max(1, occurrences) > ITEMS) {
    return `there are more than ${ITEMS} items; hand in fewer occurrences`;
  }
  return storedBytes({ type: "handIn", submission: row }) > ROW_BYTES
    ? `the description takes more than ${ROW_BYTES} bytes; hand in fewer steps`
    : null;
};
