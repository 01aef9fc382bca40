/**
 * Divides hosts among pools by max-min fairness: small demands are met in full, and the larger ones
 * share the rest equally.
 *
 * @param demands - Hosts that each pool demands.
 * @param total - Hosts to divide.
 * @returns Hosts for each pool, in the order of the demands.
 */
export const maxMinShares = (demands: readonly number[], total: number): readonly number[] => {
  const shares = demands.map(() => 0);
  const ascending = demands
    .map((demand, index) => ({ demand, index }))
    .sort((a, b) => a.demand - b.demand);
  let left = total;
  ascending.forEach(({ demand, index }, position) => {
    const share = Math.min(demand, Math.max(0, left) / (ascending.length - position));
    shares[index] = share;
    left -= share;
  });
  return shares;
};
