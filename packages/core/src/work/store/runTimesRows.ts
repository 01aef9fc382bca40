import type { CommitBudget } from "../ownership/commitBudget.js";
import type { RowToWrite } from "../events.js";
import type { OwnedWork } from "../state.js";
import type { Turn } from "../turn.js";

/**
 * Returns the row of the learned run times if it is due and fits into a commit that is sent anyway.
 * An owner that releases ownership writes the latest one for the next owner.
 */
export const takeRunTimesRow = (
  { nowMs, wallMs }: Turn,
  { runTimes, releasing, active }: OwnedWork,
  budget: CommitBudget,
): RowToWrite | null => {
  const isLast = releasing && runTimes.hasChanged;
  if (!active || !(isLast || runTimes.isRowDue(nowMs))) {
    return null;
  }
  const row: RowToWrite = { type: "runTimes", row: runTimes.toRow(nowMs, wallMs) };
  const fits = budget.takeWrite(row);
  runTimes.rowTaken(nowMs, fits);
  return fits ? row : null;
};
