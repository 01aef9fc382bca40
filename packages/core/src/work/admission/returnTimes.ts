import { fractionOfText } from "@heatherferry/common";
import { RETURN, STORE_OUTAGE } from "./constants.js";
import type { StoreOutage } from "./types.js";

const MS_PER_S = 1_000;

/** Returns a draw between 0 and 1 for an id, another one in each slot. */
export const drawOf = (id: string, storeMs: number): number =>
  fractionOfText(`${Math.floor(storeMs / RETURN.SLOT_MS)} ${id}`);

/** Number of the slots in which callers with an id return, of each round of slots. */
const slotOf = (id: string): number => Math.floor(fractionOfText(id) * RETURN.SLOTS);

const slotAt = (storeMs: number): number => Math.floor(storeMs / RETURN.SLOT_MS) % RETURN.SLOTS;

/**
 * Whether callers with an id return now. Any node can tell, since it depends on the id and on the
 * store's clock only.
 *
 * @param storeMs - Present time on the store's clock.
 */
export const isReturnSlot = (id: string, storeMs: number): boolean =>
  [storeMs, storeMs - RETURN.SLOT_GRACE_MS].map(slotAt).includes(slotOf(id));

/**
 * Returns the least number of whole seconds after which a caller is in a slot of its id, since
 * callers are told whole seconds.
 *
 * @param leastMs - Delay before which it must not return.
 */
const slottedDelayMs = (id: string, leastMs: number, storeMs: number): number => {
  const firstS = Math.ceil(leastMs / MS_PER_S);
  for (let second = firstS; second < firstS + RETURN.SLOTS; second += 1) {
    if (slotAt(storeMs + second * MS_PER_S + RETURN.TRANSFER_MS) === slotOf(id)) {
      return second * MS_PER_S;
    }
  }
  return firstS * MS_PER_S;
};

/** A caller refused because of overload. */
export interface RefusedCaller {
  readonly id: string;
  /** When it would be admitted if nobody else returned before, on the node's clock. */
  readonly earliestMs: number;
  readonly nowMs: number;
  /** Present time on the store's clock; null if it is not known. */
  readonly storeMs: number | null;
}

/**
 * Returns when a caller that was refused because of overload may return: after those that this node
 * has refused before, and in a slot of its id.
 *
 * @param queuedUntilMs - Return time of the caller of the team refused last, before its slot.
 * @param gapMs - Time after which its pool may take another one.
 * @returns The delay, and the new value of `queuedUntilMs`.
 */
export const overloadReturn = (
  { id, earliestMs, nowMs, storeMs }: RefusedCaller,
  queuedUntilMs: number,
  gapMs: number,
): { readonly delayMs: number; readonly queuedUntilMs: number } => {
  const latestMs = nowMs + RETURN.MAX_MS;
  const turnMs = Math.min(latestMs, Math.max(queuedUntilMs, earliestMs));
  const leastMs = Math.max(RETURN.MIN_MS, turnMs - nowMs);
  return {
    delayMs: storeMs === null ? leastMs : slottedDelayMs(id, leastMs, storeMs),
    queuedUntilMs: Math.min(latestMs, turnMs + gapMs),
  };
};

/** Whether refusals that came after an outage of the store belong to another one. */
const isOver = (outage: StoreOutage | null, nowMs: number): outage is null =>
  outage === null || nowMs - outage.lastRefusalAtMs > STORE_OUTAGE.OVER_AFTER_MS;

/**
 * Returns when a caller may return that was refused because the store is unreachable or refuses
 * writes. The longer the outage has lasted, the longer it is expected to go on. Callers return in
 * the order in which this node refused them.
 *
 * @param outage - The outage as of the last refusal; null if there was none.
 * @param silentSinceMs - When the store gave its last answer, or the present time.
 * @returns The delay, and the outage as of now.
 */
export const outageReturn = (
  id: string,
  outage: StoreOutage | null,
  silentSinceMs: number,
  nowMs: number,
): { readonly delayMs: number; readonly outage: StoreOutage } => {
  const present = isOver(outage, nowMs)
    ? { sinceMs: silentSinceMs, lastRefusalAtMs: nowMs, nextReturnAtMs: nowMs }
    : outage;
  const expectedMs = Math.min(
    STORE_OUTAGE.MAX_RETURN_MS,
    Math.max(STORE_OUTAGE.MIN_RETURN_MS, nowMs - present.sinceMs),
  );
  const turnMs = Math.max(present.nextReturnAtMs, nowMs + expectedMs);
  return {
    delayMs: turnMs - nowMs + fractionOfText(id) * STORE_OUTAGE.JITTER_MS,
    outage: {
      sinceMs: present.sinceMs,
      lastRefusalAtMs: nowMs,
      nextReturnAtMs: Math.min(turnMs + STORE_OUTAGE.RETURN_GAP_MS, nowMs + RETURN.MAX_MS),
    },
  };
};
