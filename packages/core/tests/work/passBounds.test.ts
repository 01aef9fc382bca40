import test from "ava";
import type { WorkSpec } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { CEILING } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN = { bornWallMs: 100 };

/** Several passes over what waits. */
const PASSES_MS = 400;

const LASTING = "00000000000000aa";
const SMALL = "00000000000000bb";

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** @returns A node with one worker, of which work that lasts has half. */
const nodeWithRoom = (): OwnerNode => {
  const node = new OwnerNode();
  node.list(reportOf("w0", 100));
  node.answerLook(node.lookAt("w0"), BORN);
  node.submit(LASTING, workOf([{ ...stepOf(1, 2_000, []), lasting: true }]));
  node.run(PASSES_MS);
  return node;
};

/** @returns Whether a small item starts that is handed in after the others. */
const smallStartsBehind = (others: readonly WorkSpec[]): boolean => {
  const node = nodeWithRoom();
  others.forEach((work, number) => {
    node.submit(idOf(number), work);
  });
  node.submit(SMALL, workOf([stepOf(1, 500, [])]));
  node.run(PASSES_MS);
  return node.starts.some(({ item }) => item.startsWith(SMALL));
};

const times = (count: number, make: (number: number) => WorkSpec): WorkSpec[] =>
  Array.from({ length: count }, (_, number) => make(number));

test("work that fits waits behind gangs that find room for some of their members", (t) => {
  const gang = workOf([{ ...stepOf(40, 60, []), gang: true }]);
  t.true(smallStartsBehind(times(4, () => gang)));
});

test("work that fits waits behind a dozen submissions that want a label which no worker has", (t) => {
  const unplaceable = workOf([{ ...stepOf(1, 500, []), requiredLabel: "none" }]);
  t.true(smallStartsBehind(times(12, () => unplaceable)));
});

test("work that fits waits behind a dozen submissions of which each is smaller than the last", (t) => {
  t.true(smallStartsBehind(times(12, (number) => workOf([stepOf(1, 3_900 - 50 * number, [])]))));
});

test("a team's work waits behind eight items that are above its ceiling by themselves", (t) => {
  const above = workOf([stepOf(1, CEILING.cpuMilli + 1_000, [])]);
  t.true(smallStartsBehind(times(8, () => above)));
});

test("the owner's row names every queue that ever had work", (t) => {
  const node = nodeWithRoom();
  const start = node.starts.find(({ item }) => item.startsWith(LASTING));
  if (start === undefined) {
    t.fail("nothing was started");
    return;
  }
  node.answerStart(start, "started");
  t.deepEqual([...(node.state.work?.owned?.queuedCounts ?? [])], []);
});
