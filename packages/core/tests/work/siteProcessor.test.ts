import test from "ava";
import type { Event } from "../../src/index.js";
import { eventUs, NodeProcessor, PRICE_US } from "./siteProcessor.js";

const listFailed = (reason: string): Event => ({ type: "power/listFailed", reason, atMs: 0 });

const TICK: Event = { type: "clock/ticked", atMs: 0 };

test("an event overtakes an earlier one or is handled at the same time as another", (t) => {
  const processor = new NodeProcessor(1, 1);
  const events = ["a", "b", "c"].map(listFailed);
  events.forEach((event, index) => {
    processor.arrive(event, index);
  });
  for (const event of events) {
    t.is(processor.begin(10), event);
    t.is(processor.begin(10), null);
    processor.end();
  }
  t.is(processor.begin(10), null);
  t.is(processor.mostWaitMs, 10);
});

test("a late node handles one clock tick for each tick that it missed", (t) => {
  const processor = new NodeProcessor(1, 1);
  processor.arrive(TICK, 0);
  processor.arrive(TICK, 100);
  t.is(processor.backlog, 1);
  t.is(processor.begin(200), TICK);
  processor.arrive(TICK, 200);
  t.is(processor.backlog, 1);
});

test("an event takes no longer with more examined entries or with less of a core", (t) => {
  const event = listFailed("a");
  t.is(eventUs(event, 0, []), PRICE_US.MESSAGE);
  t.is(eventUs(event, 1_000, []), PRICE_US.MESSAGE + 1_000 * PRICE_US.STEP);
  t.is(eventUs(TICK, 0, [{ type: "power/list" }]), PRICE_US.TURN + PRICE_US.CALL);
  t.is(new NodeProcessor(0.5, 1).charge(event, 0, []), (2 * PRICE_US.MESSAGE) / 1_000);
  t.is(new NodeProcessor(0.5, 2).charge(event, 0, []), (4 * PRICE_US.MESSAGE) / 1_000);
});
