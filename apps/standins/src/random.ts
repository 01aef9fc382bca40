import { unsafeUniformIntDistribution, type RandomGenerator } from "pure-rand";

const FRACTION_STEPS = 2 ** 30;

/**
 * @param random - The generator, moved on in place.
 * @returns A number from 0 up to, but not including, 1.
 */
export const nextFraction = (random: RandomGenerator): number =>
  unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, random) / FRACTION_STEPS;

/**
 * @param random - The generator, moved on in place.
 * @param below - A positive whole number.
 * @returns A whole number from 0 up to, but not including, `below`.
 */
export const nextIndex = (random: RandomGenerator, below: number): number =>
  unsafeUniformIntDistribution(0, below - 1, random);
