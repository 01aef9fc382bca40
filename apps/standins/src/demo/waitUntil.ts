import { setTimeout as sleep } from "node:timers/promises";
import { DEMO_TIMES } from "./constants.js";

/**
 * Asks again and again until something holds.
 *
 * @param whatFor - What is awaited, for the message.
 * @param boundMs - Time after which to give up.
 * @param holds - Whether it holds; an error counts as no.
 * @throws Error when it does not hold in time.
 */
export const waitUntil = async (
  whatFor: string,
  boundMs: number,
  holds: () => Promise<boolean>,
): Promise<void> => {
  const untilMs = performance.now() + boundMs;
  while (performance.now() < untilMs) {
    if (await holds().catch(() => false)) {
      return;
    }
    await sleep(DEMO_TIMES.POLL_MS);
  }
  throw new Error(`Waited ${boundMs} ms in vain for ${whatFor}`);
};
