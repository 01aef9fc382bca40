import { isViewCurrent } from "../evacuation/index.js";
import { presentTermMs } from "./ownerTerm.js";
import { catalogAgeMs } from "../store/catalog.js";
import type { OwnedWork } from "../state.js";
import type { Turn } from "../turn.js";

/** Returns until when no other node can acquire ownership, on this node's monotonic clock. */
export const confirmedUntilMs = (owned: OwnedWork): number =>
  owned.confirmedAtMs + presentTermMs(owned);

/**
 * Whether this owner may act: its state is loaded, it isn't releasing ownership, and no other node
 * can have acquired ownership since its last confirmed commit.
 */
export const isOwnershipConfirmed = (turn: Turn, owned: OwnedWork): boolean =>
  owned.active && !owned.releasing && turn.nowMs <= confirmedUntilMs(owned);

/**
 * Whether the owner's view of submissions and cancellations is fresh enough to start runs and to
 * report counts. With an older view it could start work that was cancelled seconds ago, and miss
 * submissions that have to be visible within `visibleMs`.
 */
export const isSubmissionViewFresh = ({ work, nowMs }: Turn): boolean => {
  const { viewAtMs } = work.feeds.handIns;
  return viewAtMs !== null && nowMs - viewAtMs <= work.bounds.visibleMs;
};

/**
 * Whether the owner's view of the zones to evacuate is fresh enough to start runs. The requests are
 * in the operators' table, as the catalog is.
 */
export const isEvacuationViewFresh = (turn: Turn): boolean =>
  isViewCurrent(turn.work.bounds.evacuationMs, catalogAgeMs(turn));

/** Whether the owner may start runs: ownership is confirmed, and all that it knows is fresh. */
export const mayStartRuns = (turn: Turn, owned: OwnedWork): boolean =>
  isOwnershipConfirmed(turn, owned) && isSubmissionViewFresh(turn) && isEvacuationViewFresh(turn);
