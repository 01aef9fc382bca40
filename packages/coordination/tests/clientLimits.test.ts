import test from "ava";
import * as fc from "fast-check";
import { ByteBudget, ConnectionSlots } from "../src/index.js";

const LIMITS = { maxConnections: 3, maxOpenRequests: 2 };

test("more bytes are reserved than the budget holds, or released ones are lost", (t) => {
  const budget = new ByteBudget(100);
  t.true(budget.reserve(60));
  t.false(budget.reserve(41));
  t.is(budget.reservedBytes, 60);
  t.true(budget.reserve(40));
  budget.release(60);
  t.is(budget.reservedBytes, 40);
});

test("clients that send nothing lock out a new one", (t) => {
  const slots = new ConnectionSlots<string>(LIMITS);
  t.deepEqual(
    ["a", "b", "c", "d"].map((id) => slots.open(id)),
    [null, null, null, "a"],
  );
  t.is(slots.size, 3);
});

test("a connection in use, or one that was used lately, is closed before an idle one", (t) => {
  const slots = new ConnectionSlots<string>(LIMITS);
  ["a", "b", "c"].forEach((id) => slots.open(id));
  t.true(slots.beginRequest("a"));
  t.true(slots.beginRequest("b"));
  slots.endRequest("b");
  t.is(slots.open("d"), "c");
  t.is(slots.open("e"), "b");
  t.true(slots.isInUse("a"));
});

test("a new connection displaces one whose request waits for its answer", (t) => {
  const slots = new ConnectionSlots<string>(LIMITS);
  ["a", "b", "c"].forEach((id) => {
    slots.open(id);
    slots.beginRequest(id);
  });
  t.is(slots.open("d"), "d");
  t.is(slots.size, 3);
});

test("one connection has more open requests than allowed", (t) => {
  const slots = new ConnectionSlots<string>(LIMITS);
  slots.open("a");
  t.deepEqual(
    [1, 2, 3].map(() => slots.beginRequest("a")),
    [true, true, false],
  );
  slots.endRequest("a");
  t.true(slots.beginRequest("a"));
});

test("a request that ends after its connection was closed takes a slot", (t) => {
  const slots = new ConnectionSlots<string>(LIMITS);
  slots.open("a");
  slots.beginRequest("a");
  slots.close("a");
  slots.endRequest("a");
  t.is(slots.size, 0);
});

test("some order of connections and requests exceeds the number of connections", (t) => {
  const step = fc.record({
    id: fc.integer({ min: 0, max: 6 }),
    action: fc.constantFrom("open", "begin", "end", "close"),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const slots = new ConnectionSlots<number>(LIMITS);
      const open = new Set<number>();
      for (const { id, action } of steps) {
        if (action === "open" && !open.has(id)) {
          open.add(id);
          open.delete(slots.open(id) ?? -1);
        } else if (action === "begin" && open.has(id)) {
          slots.beginRequest(id);
        } else if (action === "end") {
          slots.endRequest(id);
        } else if (action === "close") {
          open.delete(id);
          slots.close(id);
        }
        t.is(slots.size, open.size);
        t.true(slots.size <= LIMITS.maxConnections);
      }
    }),
    { seed: 1 },
  );
});
