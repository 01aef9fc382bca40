import test from "ava";
import { isReturnSlot, outageReturn, overloadReturn } from "../../src/work/admission/index.js";
import { RETURN, STORE_OUTAGE } from "../../src/work/admission/constants.js";
import type { StoreOutage } from "../../src/work/admission/types.js";

const NOW_MS = 50_000;
const STORE_MS = 7_345;
const GAP_MS = 500;

const idOf = (number: number): string => (number * 0x9e37_79b1).toString(16).padStart(16, "0");

/** Refuses callers one after another and returns their delays. */
const overloadDelays = (count: number, earliestMs: number): readonly number[] => {
  let queuedUntilMs = NOW_MS;
  return Array.from({ length: count }, (_, index) => {
    const caller = { id: idOf(index + 1), earliestMs, nowMs: NOW_MS, storeMs: STORE_MS };
    const { delayMs, queuedUntilMs: next } = overloadReturn(caller, queuedUntilMs, GAP_MS);
    queuedUntilMs = next;
    return delayMs;
  });
};

/** Refuses callers during an outage, at an interval, and returns their delays. */
const outageDelays = (count: number, intervalMs: number): readonly number[] => {
  let outage: StoreOutage | null = null;
  return Array.from({ length: count }, (_, index) => {
    const next = outageReturn(idOf(index), outage, NOW_MS, NOW_MS + index * intervalMs);
    outage = next.outage;
    return next.delayMs;
  });
};

test("callers that are refused at the same moment return together", (t) => {
  const delays = overloadDelays(40, NOW_MS + 3_000);
  t.true(new Set(delays).size >= 15, `${new Set(delays).size} different delays`);
  t.true(Math.min(...delays) >= 3_000);
});

test("a caller refused later returns more than a round of slots before an earlier one", (t) => {
  const delays = overloadDelays(100, NOW_MS);
  const roundMs = RETURN.SLOTS * RETURN.SLOT_MS;
  delays.forEach((delayMs, index) => {
    const earlier = Math.max(0, ...delays.slice(0, index));
    t.true(delayMs > earlier - roundMs, `${delayMs} ms after ${earlier} ms`);
  });
});

test("a caller is told to return when it is not in a slot of its id", (t) => {
  overloadDelays(40, NOW_MS + 3_000).forEach((delayMs, index) => {
    const arrivesMs = STORE_MS + delayMs + RETURN.TRANSFER_MS;
    t.true(isReturnSlot(idOf(index + 1), arrivesMs));
    t.true(isReturnSlot(idOf(index + 1), arrivesMs + RETURN.SLOT_GRACE_MS));
  });
});

test("more than half of the callers are in a return slot by chance", (t) => {
  const ids = Array.from({ length: 1_000 }, (_, index) => idOf(index));
  const inSlot = ids.filter((id) => isReturnSlot(id, STORE_MS)).length;
  t.true(inSlot > 150 && inSlot < 500, `${inSlot} of 1,000`);
});

test("a delay grows without bound with the number of refused callers", (t) => {
  const delays = overloadDelays(1_000, NOW_MS);
  t.true(Math.max(...delays) <= RETURN.MAX_MS + RETURN.SLOTS * RETURN.SLOT_MS);
});

test("callers refused in a short outage wait for long, those in a long one retry at once", (t) => {
  const delays = outageDelays(100, 100);
  t.true((delays[0] ?? 0) <= STORE_OUTAGE.MIN_RETURN_MS + STORE_OUTAGE.JITTER_MS);
  t.true((delays[50] ?? 0) >= 5_000);
  const longestMs = STORE_OUTAGE.MAX_RETURN_MS + STORE_OUTAGE.JITTER_MS;
  t.true(Math.max(...delays) <= longestMs);
});

test("callers refused within a moment of an outage return within a moment", (t) => {
  const delays = outageDelays(100, 0);
  const spanMs = Math.max(...delays) - Math.min(...delays);
  t.true(spanMs >= 99 * STORE_OUTAGE.RETURN_GAP_MS, `within ${spanMs} ms`);
  const seconds = new Set(outageDelays(20, 0).map((delayMs) => Math.ceil(delayMs / 1_000)));
  t.true(seconds.size > 1, "all callers are told the same number of seconds");
});

test("an outage that is over delays the callers of the next one", (t) => {
  const { outage } = outageReturn("a", null, NOW_MS, NOW_MS);
  const laterMs = NOW_MS + STORE_OUTAGE.OVER_AFTER_MS + 1;
  const { delayMs } = outageReturn("b", outage, laterMs, laterMs);
  t.true(delayMs <= STORE_OUTAGE.MIN_RETURN_MS + STORE_OUTAGE.JITTER_MS);
});
