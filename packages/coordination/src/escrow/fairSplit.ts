/**
 * Max-min fair split: nobody gets more than it wants, and nobody gets less than another unless
 * it wants less.
 *
 * @param total - Count to split.
 * @param wants - What each one wants.
 * @returns The part of each, in the same order; remainders go to the first.
 */
export const fairSplit = (total: number, wants: readonly number[]): readonly number[] => {
  const parts = wants.map(() => 0);
  const order = wants.map((_, index) => index);
  order.sort((left, right) => (wants[left] ?? 0) - (wants[right] ?? 0));
  let rest = total;
  order.forEach((index, done) => {
    const equal = Math.ceil(rest / (order.length - done));
    const part = Math.min(wants[index] ?? 0, equal);
    parts[index] = part;
    rest -= part;
  });
  return parts;
};

/**
 * The place's part of an equal split, remainders to the first places.
 *
 * @param total - Count to split.
 * @param place - Place, from 0.
 * @param places - How many places there are.
 * @returns The part.
 */
export const equalPart = (total: number, place: number, places: number): number =>
  Math.floor(total / places) + (place < total % places ? 1 : 0);
