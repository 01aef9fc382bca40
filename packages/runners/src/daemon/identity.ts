import { randomBytes, randomInt } from "node:crypto";
import { incarnation, type Incarnation, type JsonLogger } from "@heatherferry/common";

const SEED_BOUND = 2 ** 31;
const INCARNATION_BYTES = 8;

/** @returns The name of this life of the process. */
export const newIncarnation = (): Incarnation =>
  incarnation(randomBytes(INCARNATION_BYTES).toString("hex"));

/** @returns A seed for the node's random numbers. */
export const newSeed = (): number => randomInt(SEED_BOUND);

/**
 * @param log - Where unreadable rows are written.
 * @returns What to tell of the key of a row that could not be decoded.
 */
export const logUnreadableRow =
  (log: JsonLogger) =>
  (key: string): void => {
    log("warn", "table.rowUnreadable", { key });
  };
