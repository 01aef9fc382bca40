/**
 * @param value - A count or version of the core, below 2^53.
 * @returns The same as the wire has it.
 */
export const toInt64 = (value: number): bigint => BigInt(value);

/**
 * @param value - A whole number from the wire.
 * @returns The same as the core has it; beyond 2^53 no version can be real and 0 stands for it.
 */
export const fromInt64 = (value: bigint): number => {
  const number = Number(value);
  return Number.isSafeInteger(number) && number >= 0 ? number : 0;
};
