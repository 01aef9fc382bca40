import test from "ava";
import type { Event } from "../../src/index.js";
import { eventCostUs, NodeProcessor, COST_US } from "./siteProcessor.js";

const listFailed = (reason: string): Event => ({ type: "power/listFailed", reason, atMs: 0 });

const TICK: Event = { type: "clock/ticked", atMs: 0 };

test("an event overtakes an earlier one or is handled at the same time as another", (t) => {
  const processor = new NodeProcessor(1, 1);
  const events = ["a", "b", "c"].map(listFailed);
  events.forEach((event, index) => {
    processor.enqueue(event, index);
  });
  for (const event of events) {
    t.is(processor.beginNext(10), event);
    t.is(processor.beginNext(10), null);
    processor.end();
  }
  t.is(processor.beginNext(10), null);
  t.is(processor.maxWaitMs, 10);
});

test("a late node handles one clock tick for each tick that it missed", (t) => {
  const processor = new NodeProcessor(1, 1);
  processor.enqueue(TICK, 0);
  processor.enqueue(TICK, 100);
  t.is(processor.backlog, 1);
  t.is(processor.beginNext(200), TICK);
  processor.enqueue(TICK, 200);
  t.is(processor.backlog, 1);
});

test("an event takes no longer with more examined entries or with less of a core", (t) => {
  const event = listFailed("a");
  t.is(eventCostUs(event, 0, []), COST_US.MESSAGE);
  t.is(eventCostUs(event, 1_000, []), COST_US.MESSAGE + 1_000 * COST_US.STEP);
  t.is(eventCostUs(TICK, 0, [{ type: "power/list" }]), COST_US.TICK + COST_US.CALL);
  t.is(new NodeProcessor(0.5, 1).charge(event, 0, []), (2 * COST_US.MESSAGE) / 1_000);
  t.is(new NodeProcessor(0.5, 2).charge(event, 0, []), (4 * COST_US.MESSAGE) / 1_000);
});
