import type { TeamId } from "@heatherferry/common";
import { findItem, specOf, teamOf } from "../submissions/itemLookup.js";
import type { StoreRow } from "../events.js";
import type { OwnedWork } from "../state.js";
import { chargeTeam } from "../placement/teamUse.js";
import type { ItemKey, LeasedWorker, Resources, SubmissionId, WorkerId } from "../types.js";

/**
 * Items that are not started because they may still run on unfenced workers, with those workers.
 * The lease rows of several workers may list the same item.
 */
export type WithheldItems = Map<ItemKey, Set<WorkerId>>;

/** What a withheld item counts against the ceiling of its team, since it may be running. */
export interface WithheldCharge {
  readonly team: TeamId | null;
  readonly needs: Resources;
}

/** Withholds an item until a worker confirms the fencing token of this owner. */
export const withholdItem = (withheld: WithheldItems, item: ItemKey, worker: WorkerId): void => {
  const workers = withheld.get(item);
  if (workers === undefined) {
    withheld.set(item, new Set([worker]));
  } else {
    workers.add(worker);
  }
};

/** Releases a worker's withheld items, except those that another unfenced worker may run. */
export const releaseItems = (
  withheld: WithheldItems,
  worker: WorkerId,
  items: readonly ItemKey[],
): void => {
  for (const item of items) {
    const workers = withheld.get(item);
    if (workers?.delete(worker) === true && workers.size === 0) {
      withheld.delete(item);
    }
  }
};

/** Records the last occurrence of a submission that a lease row lists. */
const recordStartedOccurrence = (owned: OwnedWork, step: string): void => {
  const [id, occurrence] = step.split(".");
  const submission = id as SubmissionId;
  const last = owned.startedOccurrences.get(submission) ?? -1;
  owned.startedOccurrences.set(submission, Math.max(last, Number(occurrence)));
};

/** Returns the items that a worker's lease row lists. */
export const leasedItems = ({ items }: LeasedWorker): ItemKey[] =>
  Object.entries(items).flatMap(([step, indexes]) =>
    indexes.map((index) => `${step}.${index}` as ItemKey),
  );

/** Adopts the lease rows that previous owners wrote, and withholds the items that they list. */
export const adoptLeases = (owned: OwnedWork, rows: readonly StoreRow[]): void => {
  for (const row of rows) {
    if (row.type !== "lease") {
      continue;
    }
    owned.leases.set(row.worker, row.lease);
    owned.unfencedLeases.set(row.worker, row.lease);
    Object.keys(row.lease.items).forEach((step) => {
      recordStartedOccurrence(owned, step);
    });
    for (const item of leasedItems(row.lease)) {
      withholdItem(owned.withheldItems, item, row.worker);
    }
  }
};

/** Returns the charge for an item; null if it isn't withheld or its run is charged already. */
const chargeOf = (owned: OwnedWork, item: ItemKey): WithheldCharge | null => {
  const spec = owned.withheldItems.has(item) ? specOf(owned, item) : null;
  return spec === null || (findItem(owned, item)?.run ?? null) !== null
    ? null
    : { team: teamOf(owned, item), needs: spec.needs };
};

/** Updates the charges of items to their teams: one for each withheld item, none for others. */
export const updateWithheldCharges = (owned: OwnedWork, items: Iterable<ItemKey>): void => {
  for (const item of items) {
    const previous = owned.withheldCharges.get(item) ?? null;
    const current = chargeOf(owned, item);
    if (previous !== null && current === null) {
      chargeTeam(owned.withheldUse, previous.team, previous.needs, -1);
      owned.withheldCharges.delete(item);
    } else if (previous === null && current !== null) {
      chargeTeam(owned.withheldUse, current.team, current.needs, 1);
      owned.withheldCharges.set(item, current);
    }
    if (current === null && owned.withheldItems.has(item)) {
      owned.unchargedWithheldItems.add(item);
    } else {
      owned.unchargedWithheldItems.delete(item);
    }
  }
};
