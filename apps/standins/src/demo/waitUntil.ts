import { setTimeout as sleep } from "node:timers/promises";
import { DEMO_TIMES } from "./constants.js";

/**
 * Polls a condition until it holds.
 *
 * @param description - What is awaited, for the error message.
 * @param timeoutMs - Time after which the wait fails.
 * @param condition - Returns whether the condition holds; an error counts as false.
 * @throws Error when the condition does not hold within `timeoutMs`.
 */
export const waitUntil = async (
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> => {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition().catch(() => false)) {
      return;
    }
    await sleep(DEMO_TIMES.POLL_INTERVAL_MS);
  }
  throw new Error(`Timed out after ${timeoutMs} ms waiting for ${description}`);
};
