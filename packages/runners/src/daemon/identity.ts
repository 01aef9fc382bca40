import { randomBytes, randomInt } from "node:crypto";
import { incarnation, type Incarnation, type JsonLogger } from "@heatherferry/common";

const SEED_BOUND = 2 ** 31;
const INCARNATION_BYTES = 8;

/** Returns a random name for this incarnation of the process. */
export const newIncarnation = (): Incarnation =>
  incarnation(randomBytes(INCARNATION_BYTES).toString("hex"));

/** Returns a seed for the node's random number generator. */
export const newSeed = (): number => randomInt(SEED_BOUND);

/**
 * Returns a function that logs the key of a row that could not be decoded.
 *
 * @param log - Logger to write to.
 */
export const logUnreadableRow =
  (log: JsonLogger) =>
  (key: string): void => {
    log("warn", "table.rowUnreadable", { key });
  };
