import type { LimitStamp } from "./types.js";

/** The fraction of a count that remains under another limit. */
const remainingFraction = (stamp: LimitStamp, limit: number): number => {
  if (limit >= stamp.limit) {
    return 1;
  }
  return limit <= stamp.above ? 0 : (limit - stamp.above) / (stamp.limit - stamp.above);
};

/**
 * Scales a count down to a lower limit. Each holder computes this for itself, and the sum over all
 * holders stays within any limit in force without an exchange of messages.
 *
 * @param count - A count.
 * @param stamp - The limit under which it was granted.
 * @param limit - The limit in force.
 * @returns The count that may be started under that limit.
 */
export const scaledCount = (count: number, stamp: LimitStamp, limit: number): number =>
  Math.floor(count * remainingFraction(stamp, limit));

/**
 * Converts a released count to another stamp.
 *
 * @param count - A count that is released.
 * @param from - The stamp under which it was granted.
 * @param to - The stamp under which it is to be granted again.
 * @returns The part of the count that may be granted under the other stamp.
 */
export const restampedCount = (count: number, from: LimitStamp, to: LimitStamp): number =>
  from.limit > to.limit ? scaledCount(count, from, to.limit) : count;

/**
 * @param left - A stamp.
 * @param right - Another stamp.
 * @returns Whether both are equal.
 */
export const sameStamp = (left: LimitStamp, right: LimitStamp): boolean =>
  left.limit === right.limit && left.above === right.above;
