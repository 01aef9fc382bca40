import { unsafeUniformIntDistribution, type RandomGenerator } from "pure-rand";

const FRACTION_STEPS = 2 ** 30;

/**
 * Returns a random number from 0 (inclusive) to 1 (exclusive).
 *
 * @param random - The generator; its state advances.
 */
export const nextFraction = (random: RandomGenerator): number =>
  unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, random) / FRACTION_STEPS;

/**
 * Returns a random integer from 0 (inclusive) to `below` (exclusive).
 *
 * @param random - The generator; its state advances.
 * @param below - A positive integer.
 */
export const nextIndex = (random: RandomGenerator, below: number): number =>
  unsafeUniformIntDistribution(0, below - 1, random);
