import type { TeamId } from "@heatherferry/common";
import { findItem, specOf, teamOf } from "./itemLookup.js";
import type { StoreRow } from "./events.js";
import type { OwnedWork } from "./state.js";
import { chargeTeam } from "./teamUse.js";
import type { ItemKey, LeasedWorker, Resources, SubmissionId, WorkerId } from "./types.js";

/** Items that may run on workers that were not heard yet; the rows of several may name one item. */
export type HeldItems = Map<ItemKey, Set<WorkerId>>;

/** What a team may have running by an item that is held. */
export interface HeldCharge {
  readonly team: TeamId | null;
  readonly needs: Resources;
}

/** Holds an item back until a worker is heard. */
export const holdItem = (held: HeldItems, item: ItemKey, worker: WorkerId): void => {
  const workers = held.get(item);
  if (workers === undefined) {
    held.set(item, new Set([worker]));
  } else {
    workers.add(worker);
  }
};

/** Lets go of those of a worker's items that were held back for it alone. */
export const releaseItems = (
  held: HeldItems,
  worker: WorkerId,
  items: readonly ItemKey[],
): void => {
  for (const item of items) {
    const workers = held.get(item);
    if (workers?.delete(worker) === true && workers.size === 0) {
      held.delete(item);
    }
  }
};

const noteBegun = (owned: OwnedWork, step: string): void => {
  const [id, occurrence] = step.split(".");
  const submission = id as SubmissionId;
  const last = owned.begunOccurrences.get(submission) ?? -1;
  owned.begunOccurrences.set(submission, Math.max(last, Number(occurrence)));
};

/** @returns The items that a worker's row names. */
export const itemsNamed = ({ items }: LeasedWorker): ItemKey[] =>
  Object.entries(items).flatMap(([step, indexes]) =>
    indexes.map((index) => `${step}.${index}` as ItemKey),
  );

/** Takes the rows of workers that earlier owners left. */
export const takeLeases = (owned: OwnedWork, rows: readonly StoreRow[]): void => {
  for (const row of rows) {
    if (row.type !== "lease") {
      continue;
    }
    owned.leases.set(row.worker, row.lease);
    owned.unheard.set(row.worker, row.lease);
    Object.keys(row.lease.items).forEach((step) => {
      noteBegun(owned, step);
    });
    for (const item of itemsNamed(row.lease)) {
      holdItem(owned.heldItems, item, row.worker);
    }
  }
};

/** @returns What a team may have running by an item; null where a run is booked that counts. */
const chargeOf = (owned: OwnedWork, item: ItemKey): HeldCharge | null => {
  const spec = owned.heldItems.has(item) ? specOf(owned, item) : null;
  return spec === null || (findItem(owned, item)?.run ?? null) !== null
    ? null
    : { team: teamOf(owned, item), needs: spec.needs };
};

/** Counts once what teams may have running by items that are held, and no more by others. */
export const chargeHeldItems = (owned: OwnedWork, items: Iterable<ItemKey>): void => {
  for (const item of items) {
    const before = owned.heldCharges.get(item) ?? null;
    const now = chargeOf(owned, item);
    if (before !== null && now === null) {
      chargeTeam(owned.heldUse, before.team, before.needs, -1);
      owned.heldCharges.delete(item);
    } else if (before === null && now !== null) {
      chargeTeam(owned.heldUse, now.team, now.needs, 1);
      owned.heldCharges.set(item, now);
    }
    if (now === null && owned.heldItems.has(item)) {
      owned.heldUncharged.add(item);
    } else {
      owned.heldUncharged.delete(item);
    }
  }
};
