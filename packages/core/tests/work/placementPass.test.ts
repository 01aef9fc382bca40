import test from "ava";
import type { WorkSpec } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { TEAM_CEILING } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN = { startWallMs: 100 };

/** Time for several placement passes. */
const PASSES_MS = 400;

const LONG_RUNNING = "00000000000000aa";
const SMALL = "00000000000000bb";

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** Returns a node with one worker, half of which long-running work uses. */
const nodeWithFreeCapacity = (): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w0", 100));
  node.answerPoll(node.lastPollOf("w0"), BORN);
  node.submit(LONG_RUNNING, workOf([{ ...stepOf(1, 2_000, []), lasting: true }]));
  node.run(PASSES_MS);
  return node;
};

/** Whether a small item starts that is submitted after the others. */
const startsBehind = (others: readonly WorkSpec[]): boolean => {
  const node = nodeWithFreeCapacity();
  others.forEach((work, number) => {
    node.submit(idOf(number), work);
  });
  node.submit(SMALL, workOf([stepOf(1, 500, [])]));
  node.run(PASSES_MS);
  return node.starts.some(({ item }) => item.startsWith(SMALL));
};

const repeat = (count: number, make: (number: number) => WorkSpec): WorkSpec[] =>
  Array.from({ length: count }, (_, number) => make(number));

test("work that fits waits behind gangs with capacity for only some of their members", (t) => {
  const gang = workOf([{ ...stepOf(40, 60, []), gang: true }]);
  t.true(startsBehind(repeat(4, () => gang)));
});

test("work that fits waits behind a dozen submissions that require a label which no worker has", (t) => {
  const unplaceable = workOf([{ ...stepOf(1, 500, []), requiredLabel: "none" }]);
  t.true(startsBehind(repeat(12, () => unplaceable)));
});

test("work that fits waits behind a dozen submissions that do not fit, each smaller than the last", (t) => {
  t.true(startsBehind(repeat(12, (number) => workOf([stepOf(1, 3_900 - 50 * number, [])]))));
});

test("a team's work waits behind eight items that each exceed its resource ceiling", (t) => {
  const above = workOf([stepOf(1, TEAM_CEILING.cpuMilli + 1_000, [])]);
  t.true(startsBehind(repeat(8, () => above)));
});

test("a queue without queued submissions keeps an entry in the queued counts", (t) => {
  const node = nodeWithFreeCapacity();
  const start = node.starts.find(({ item }) => item.startsWith(LONG_RUNNING));
  if (start === undefined) {
    t.fail("no start order was sent for the long-running item");
    return;
  }
  node.answerStart(start, "started");
  t.deepEqual([...(node.state.work?.owned?.queuedCounts ?? [])], []);
});
