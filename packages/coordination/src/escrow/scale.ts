import type { LimitStamp } from "./types.js";

const share = (stamp: LimitStamp, limit: number): number => {
  if (limit >= stamp.limit) {
    return 1;
  }
  return limit <= stamp.above ? 0 : (limit - stamp.above) / (stamp.limit - stamp.above);
};

/**
 * What is left of a count under another limit. Each holder works it out for itself: over all
 * holders the sum stays within whatever limit is in force, without a message.
 *
 * @param count - A count.
 * @param stamp - The limit under which it was given.
 * @param limit - The limit in force.
 * @returns The count that may be started under that limit.
 */
export const scaledCount = (count: number, stamp: LimitStamp, limit: number): number =>
  Math.floor(count * share(stamp, limit));

/**
 * What of a count may be used again by others whose counts carry another stamp.
 *
 * @param count - A count that is given back.
 * @param from - Its own stamp.
 * @param to - The stamp under which it is to be used again.
 * @returns The count to add there.
 */
export const restampedCount = (count: number, from: LimitStamp, to: LimitStamp): number =>
  from.limit > to.limit ? scaledCount(count, from, to.limit) : count;

/**
 * @param left - A stamp.
 * @param right - Another.
 * @returns Whether they say the same.
 */
export const sameStamp = (left: LimitStamp, right: LimitStamp): boolean =>
  left.limit === right.limit && left.above === right.above;
