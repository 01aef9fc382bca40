import type { QueueId } from "@heatherferry/common";
import { PENDING_COUNT, SUBMISSION_STATE } from "./constants.js";
import { lookedAt } from "./effort.js";
import type { OwnedWork } from "./state.js";
import type { Turn } from "./turn.js";
import type { PendingCount } from "./types.js";

const pendingByQueue = (turn: Turn, owned: OwnedWork): Record<string, number> => {
  const counts: Record<string, number> = {};
  lookedAt(turn, owned.submissions.size);
  for (const submission of owned.submissions.values()) {
    if (submission.state === SUBMISSION_STATE.QUEUED) {
      const { queue } = submission.handIn;
      counts[queue] = (counts[queue] ?? 0) + 1;
    }
  }
  return counts;
};

/** @returns The count for the owner's row; null before it has loaded what there is to count. */
export const countPending = (turn: Turn, owned: OwnedWork): PendingCount | null => {
  const { viewStoreMs } = turn.work.feeds.handIns;
  return owned.active && viewStoreMs !== null
    ? { asOfStoreMs: viewStoreMs, byQueue: pendingByQueue(turn, owned) }
    : null;
};

/** @returns The age of the count in the owner's row, in ms. */
const countAgeMs = ({ work, nowMs }: Turn): number => {
  const { row, viewAtMs, viewStoreMs } = work.ownerView;
  const asOfStoreMs = row?.pending?.asOfStoreMs ?? Infinity;
  return viewAtMs === null || viewStoreMs === null || viewStoreMs < asOfStoreMs
    ? Infinity
    : viewStoreMs - asOfStoreMs + (nowMs - viewAtMs);
};

/** @returns How many submissions of a queue wait; null where no count is young enough to tell. */
export const knownPending = (turn: Turn, queue: QueueId): number | null => {
  const { owned, ownerView, feeds, bounds } = turn.work;
  if (owned?.active === true) {
    const { viewAtMs } = feeds.handIns;
    const hearsHandIns = viewAtMs !== null && turn.nowMs - viewAtMs <= bounds.visibleMs;
    return hearsHandIns ? (pendingByQueue(turn, owned)[queue] ?? 0) : null;
  }
  return countAgeMs(turn) <= PENDING_COUNT.MOST_AGE_MS
    ? (ownerView.row?.pending?.byQueue[queue] ?? 0)
    : null;
};
