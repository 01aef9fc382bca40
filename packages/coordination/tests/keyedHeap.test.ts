import test from "ava";
import fc from "fast-check";
import { DueQueue } from "../src/index.js";

interface Named {
  readonly name: number;
}

type Change =
  | { readonly type: "set"; readonly name: number; readonly atMs: number }
  | { readonly type: "delete"; readonly name: number };

const CHANGES: fc.Arbitrary<Change> = fc.oneof(
  fc.record({
    type: fc.constant("set" as const),
    name: fc.nat(20),
    atMs: fc.nat(50),
  }),
  fc.record({ type: fc.constant("delete" as const), name: fc.nat(20) }),
);

test("an item that was moved or removed comes out at its old time, or one is lost", (t) => {
  const items: Named[] = Array.from({ length: 21 }, (_, name) => ({ name }));
  fc.assert(
    fc.property(fc.array(CHANGES, { maxLength: 200 }), fc.nat(60), (changes, untilMs) => {
      const queue = new DueQueue<Named>();
      const model = new Map<Named, number>();
      for (const change of changes) {
        const item = items[change.name];
        if (item !== undefined && change.type === "set") {
          queue.set(item, change.atMs);
          model.set(item, change.atMs);
        } else if (item !== undefined) {
          t.is(queue.delete(item), model.delete(item));
        }
      }
      t.is(queue.size, model.size);
      const due = queue.takeDue(untilMs);
      t.deepEqual(
        due.map((item) => model.get(item)),
        [...model.values()].filter((atMs) => atMs <= untilMs).sort((one, other) => one - other),
      );
      t.is(queue.nextAtMs(), Math.min(...[...model.values()].filter((atMs) => atMs > untilMs)));
    }),
    { seed: 28, numRuns: 300 },
  );
});

test("items due at the same time come out in another order than they were added", (t) => {
  const queue = new DueQueue<string>();
  for (const name of ["a", "b", "c", "d"]) {
    queue.set(name, 10);
  }
  t.deepEqual(queue.takeDue(10), ["a", "b", "c", "d"]);
});
