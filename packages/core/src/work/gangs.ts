import { ITEM_PHASE } from "./constants.js";
import { giveUpRun } from "./lostRuns.js";
import type { Item, OwnedWork, PoolWork } from "./state.js";
import { itemDone } from "./submissions.js";
import type { Turn } from "./turn.js";
import { nextRunNumber, planStart } from "./starts.js";
import { withinCeiling } from "./placement.js";
import { findRoom } from "./places.js";

/** @returns All items that work together with this one. */
const membersOf = (item: Item): readonly Item[] =>
  item.submission.occurrences.get(item.occurrence)?.steps[item.step] ?? [];

const giveBack = (turn: Turn, owned: OwnedWork, items: readonly Item[]): void => {
  for (const item of items) {
    const worker = item.run === null ? undefined : owned.workers.get(item.run.worker);
    if (item.run !== null && worker !== undefined) {
      giveUpRun(turn, owned, worker, item.run, "its gang finds no room");
    }
  }
};

/**
 * Plans all members of a gang in one run, or none: members that wait for the others waste their
 * room and then end.
 *
 * @returns Whether there was room for all, or some member cannot start yet for another reason.
 */
export const planGang = (turn: Turn, owned: OwnedWork, pool: PoolWork, first: Item): boolean => {
  const members = membersOf(first);
  if (!members.every(({ phase, key }) => phase === ITEM_PHASE.READY && !owned.heldItems.has(key))) {
    return true;
  }
  const number = Math.max(...members.map((item) => nextRunNumber(owned, item)));
  const checkpoint = members.find((item) => item.checkpoint !== null)?.checkpoint ?? null;
  const startsBefore = owned.plannedStarts.length;
  const planned: Item[] = [];
  for (const item of members) {
    const allowed = withinCeiling(turn, owned, item.submission, item.spec);
    const worker = allowed ? findRoom(turn, owned, pool, item).worker : null;
    if (worker === null) {
      giveBack(turn, owned, planned);
      owned.plannedStarts.length = startsBefore;
      return !allowed;
    }
    item.checkpoint = checkpoint;
    planStart(turn, owned, worker, item, number);
    planned.push(item);
  }
  return true;
};

/** One member that has ended as done stands for all. */
export const gangDone = (turn: Turn, owned: OwnedWork, item: Item, run: number): void => {
  for (const member of membersOf(item)) {
    itemDone(turn, owned, member, run);
  }
};
