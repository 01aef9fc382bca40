import { OWNERSHIP } from "./constants.js";
import type { OwnedWork } from "./state.js";
import type { Turn } from "./turn.js";

/** @returns Until when no other node can have taken over, on this node's steady clock. */
export const sureUntilMs = (owned: OwnedWork): number => owned.confirmedAtMs + OWNERSHIP.SURE_MS;

/** @returns Whether no other node can have taken over since the last confirmed write. */
export const isSure = (turn: Turn, owned: OwnedWork): boolean =>
  owned.active && !owned.releasing && turn.nowMs <= sureUntilMs(owned);

/**
 * What was cancelled may have been cancelled seconds ago where no feed tells of it, and what is
 * handed in has to be seen by then.
 *
 * @returns Whether the owner hears of hand-ins and cancels.
 */
export const hearsHandIns = ({ work, nowMs }: Turn): boolean => {
  const { viewAtMs } = work.feeds.handIns;
  return viewAtMs !== null && nowMs - viewAtMs <= work.bounds.visibleMs;
};
