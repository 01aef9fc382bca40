import type { QueueId } from "@heatherferry/common";
import { isSubmissionViewFresh } from "../ownership/ownershipConfirmation.js";
import { PENDING_COUNT } from "../constants.js";
import type { OwnedWork } from "../state.js";
import type { Turn } from "../turn.js";
import type { PendingCount } from "../types.js";

/** Returns the counts for the owner's row; null until the owner has loaded the submissions. */
export const countPending = (turn: Turn, owned: OwnedWork): PendingCount | null => {
  const { viewStoreMs } = turn.work.feeds.handIns;
  return owned.active && viewStoreMs !== null
    ? { asOfStoreMs: viewStoreMs, byQueue: Object.fromEntries(owned.queuedCounts) }
    : null;
};

/** Returns the age of the counts in the owner's row; infinite if it is unknown. */
const countAgeMs = ({ work, nowMs }: Turn): number => {
  const { row, viewAtMs, viewStoreMs } = work.ownerView;
  const asOfStoreMs = row?.pending?.asOfStoreMs ?? Infinity;
  return viewAtMs === null || viewStoreMs === null || viewStoreMs < asOfStoreMs
    ? Infinity
    : viewStoreMs - asOfStoreMs + (nowMs - viewAtMs);
};

/** Returns how many submissions of a queue are pending; null if no count is recent enough. */
export const pendingOfQueue = (turn: Turn, queue: QueueId): number | null => {
  const { owned, ownerView } = turn.work;
  if (owned?.active === true) {
    return isSubmissionViewFresh(turn) ? (owned.queuedCounts.get(queue) ?? 0) : null;
  }
  return countAgeMs(turn) <= PENDING_COUNT.MAX_AGE_MS
    ? (ownerView.row?.pending?.byQueue[queue] ?? 0)
    : null;
};
