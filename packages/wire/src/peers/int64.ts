/**
 * Converts a count or version to a 64-bit integer.
 *
 * @param value - A whole number below 2^53.
 */
export const toInt64 = (value: number): bigint => BigInt(value);

/**
 * Converts a 64-bit integer of a message to a number.
 *
 * @returns The number, or 0 if it is negative or not below 2^53, which no valid version is.
 */
export const fromInt64 = (value: bigint): number => {
  const number = Number(value);
  return Number.isSafeInteger(number) && number >= 0 ? number : 0;
};
