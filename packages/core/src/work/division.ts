/**
 * Divides hosts among pools that want more than there are: small wants are met in full, and what is
 * left goes to the larger ones in equal parts.
 *
 * @param wants - Hosts that each pool wants.
 * @param total - Hosts that there are.
 * @returns Hosts for each pool, in the order of the wants.
 */
export const divideHosts = (wants: readonly number[], total: number): readonly number[] => {
  const shares = wants.map(() => 0);
  const rising = wants.map((want, index) => ({ want, index })).sort((a, b) => a.want - b.want);
  let left = total;
  rising.forEach(({ want, index }, position) => {
    const share = Math.min(want, Math.max(0, left) / (rising.length - position));
    shares[index] = share;
    left -= share;
  });
  return shares;
};
