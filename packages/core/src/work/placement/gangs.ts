import { ITEM_PHASE } from "../constants.js";
import { abandonRun } from "../workers/abandonedRuns.js";
import type { Item, OwnedWork, PoolWork } from "../state.js";
import { itemDone } from "../submissions/submissions.js";
import type { Turn } from "../turn.js";
import { nextRunNumber, planStart } from "./starts.js";
import { withinCeiling } from "./placement.js";
import { findWorker } from "./capacityReservations.js";

/** Returns all items of the gang that an item belongs to, including the item itself. */
export const gangMembers = (item: Item): readonly Item[] =>
  item.submission.occurrences.get(item.occurrence)?.steps[item.step]?.items() ?? [];

/** Abandons the runs that were planned for some members of a gang. */
const abandonRuns = (turn: Turn, owned: OwnedWork, items: readonly Item[]): void => {
  for (const item of items) {
    const worker = item.run === null ? undefined : owned.workers.get(item.run.worker);
    if (item.run !== null && worker !== undefined) {
      abandonRun(turn, owned, worker, item.run, "there is no capacity for all members of its gang");
    }
  }
};

/**
 * Plans the starts of all members of a gang under one run number, or of none. Members that wait for
 * the others would occupy capacity for nothing and then end.
 *
 * @param first - Any member of the gang.
 * @returns False if workers lack the capacity for all members. True if all starts are planned, or
 *   if a member cannot start yet for another reason.
 */
export const planGang = (turn: Turn, owned: OwnedWork, pool: PoolWork, first: Item): boolean => {
  const members = gangMembers(first);
  if (
    !members.every(({ phase, key }) => phase === ITEM_PHASE.READY && !owned.withheldItems.has(key))
  ) {
    return true;
  }
  const runNumber = Math.max(...members.map((item) => nextRunNumber(owned, item)));
  const checkpoint = members.find((item) => item.checkpoint !== null)?.checkpoint ?? null;
  const startsBefore = owned.plannedStarts.length;
  const planned: Item[] = [];
  for (const item of members) {
    const allowed = withinCeiling(turn, owned, item.submission, item.spec);
    const worker = allowed ? findWorker(turn, owned, pool, item).worker : null;
    if (worker === null) {
      abandonRuns(turn, owned, planned);
      owned.plannedStarts.length = startsBefore;
      return !allowed;
    }
    item.checkpoint = checkpoint;
    planStart(turn, owned, worker, item, runNumber);
    planned.push(item);
  }
  return true;
};

/** Marks all members of a gang as done once one of them has ended as done. */
export const markGangDone = (turn: Turn, owned: OwnedWork, item: Item, run: number): void => {
  for (const member of gangMembers(item)) {
    itemDone(turn, owned, member, run);
  }
};
