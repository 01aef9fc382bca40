import type { StoreRow } from "./events.js";
import type { OwnedWork } from "./state.js";
import type { ItemKey, SubmissionId, WorkerId } from "./types.js";

/** Items that may run on workers that were not heard yet; the rows of several may name one item. */
export type HeldItems = Map<ItemKey, Set<WorkerId>>;

/** Holds an item back until a worker is heard. */
export const holdItem = (held: HeldItems, item: ItemKey, worker: WorkerId): void => {
  const workers = held.get(item);
  if (workers === undefined) {
    held.set(item, new Set([worker]));
  } else {
    workers.add(worker);
  }
};

/** Lets go of what was held back for a worker alone. */
export const releaseItems = (held: HeldItems, worker: WorkerId): void => {
  for (const [item, workers] of held) {
    if (workers.delete(worker) && workers.size === 0) {
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

/** Takes the rows of workers that earlier owners left. */
export const takeLeases = (owned: OwnedWork, rows: readonly StoreRow[]): void => {
  for (const row of rows) {
    if (row.type !== "lease") {
      continue;
    }
    owned.leases.set(row.worker, row.lease);
    owned.unheard.set(row.worker, row.lease);
    for (const [step, indexes] of Object.entries(row.lease.items)) {
      noteBegun(owned, step);
      for (const index of indexes) {
        holdItem(owned.heldItems, `${step}.${index}` as ItemKey, row.worker);
      }
    }
  }
};
