import { EVACUATION } from "./constants.js";

/**
 * Returns the age up to which a view of the requests allows starts. A request may have come right
 * after the view, and an order takes some time to be carried out.
 *
 * @param boundMs - Time within which starts in an evacuated zone must end.
 */
export const maxViewAgeMs = (boundMs: number): number =>
  Math.max(boundMs - EVACUATION.START_ORDER_LIFETIME_MS, boundMs * EVACUATION.MIN_VIEW_SHARE);

/**
 * Whether the view of the requests is recent enough to start work anywhere.
 *
 * @param boundMs - Time within which starts in an evacuated zone must end; null where operators
 *   don't evacuate zones.
 * @param ageMs - Age of the newest complete view; infinite without one.
 */
export const isViewCurrent = (boundMs: number | null, ageMs: number): boolean =>
  boundMs === null || ageMs <= maxViewAgeMs(boundMs);

/**
 * Returns how long the feed of the requests may wait for a change, so that the view stays recent
 * while nothing changes, and is renewed soon after answers were lost.
 *
 * @param ageMs - Age of the newest complete view.
 * @param waitMs - How long the feed waits where operators don't evacuate zones.
 */
export const feedWaitMs = (boundMs: number | null, ageMs: number, waitMs: number): number => {
  if (boundMs === null) {
    return waitMs;
  }
  const leftMs = maxViewAgeMs(boundMs) - ageMs;
  return Math.min(waitMs, Math.max(0, Math.floor(leftMs * EVACUATION.FEED_WAIT_SHARE)));
};
