/**
 * Splits a count by max-min fairness: no participant gets more than it wants, and none gets less
 * than another unless it wants less.
 *
 * @param total - Count to split.
 * @param wants - Count that each participant wants.
 * @returns The share of each, in the same order; remainders go to those that want least.
 */
export const fairSplit = (total: number, wants: readonly number[]): readonly number[] => {
  const shares = wants.map(() => 0);
  const order = wants.map((_, index) => index);
  order.sort((left, right) => (wants[left] ?? 0) - (wants[right] ?? 0));
  let remaining = total;
  order.forEach((index, served) => {
    const evenShare = Math.ceil(remaining / (order.length - served));
    const share = Math.min(wants[index] ?? 0, evenShare);
    shares[index] = share;
    remaining -= share;
  });
  return shares;
};

/**
 * Returns one participant's share of an equal split. The first participants get the remainder.
 *
 * @param total - Count to split.
 * @param index - Index of the participant, from 0.
 * @param count - Number of participants.
 * @returns The participant's share.
 */
export const equalShare = (total: number, index: number, count: number): number =>
  Math.floor(total / count) + (index < total % count ? 1 : 0);
