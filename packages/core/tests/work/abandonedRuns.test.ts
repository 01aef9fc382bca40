import test from "ava";
import type { ItemKey } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";

test("an item that ran too early and was stopped starts again before the previous step is done", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  const poll = node.lastPollOf("w");
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, []), stepOf(1, 500, [0])]));
  const item = `${SUBMISSION_ID}.0.1.0` as ItemKey;
  const line = { item, run: 1, checkpoint: "", percent: 10, load: null };
  node.answerPoll(poll, { startWallMs: 100, running: [line] });
  t.deepEqual(
    node.stops.map((stop) => stop.item),
    [item],
  );
  const end = { sequence: 1, item, run: 1, kind: "stopped", checkpoint: "" } as const;
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 100, ends: [end] });
  node.run(200);
  t.deepEqual(
    node.starts.map((start) => start.item),
    [`${SUBMISSION_ID}.0.0.0`],
  );
});

/** Returns a node with one confirmed run on its only worker. */
const nodeWithRun = (): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 100 });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  node.starts.forEach((start) => {
    node.answerStart(start, "started");
  });
  return node;
};

test("a single poll answer that is read late abandons a run", (t) => {
  const node = nodeWithRun();
  const poll = node.nextPollOf("w");
  const sentAtMs = node.nowMs;
  node.run(1_200);
  node.answerPoll(poll, { startWallMs: 100, sentAtMs });
  node.run(200);
  t.is(node.starts.length, 1);
});

test("a run that no poll lists is kept forever", (t) => {
  const node = nodeWithRun();
  for (let polls = 0; polls < 10; polls += 1) {
    node.answerPoll(node.nextPollOf("w"), { startWallMs: 100 });
  }
  node.run(200);
  t.is(node.starts.length, 2);
});

test("a run is abandoned while its worker has more run ends than it lists at a time", (t) => {
  const node = nodeWithRun();
  for (let polls = 0; polls < 10; polls += 1) {
    node.answerPoll(node.nextPollOf("w"), { startWallMs: 100, endsComplete: false });
  }
  node.run(200);
  t.is(node.starts.length, 1);
});

test("a new owner starts work on a worker before it has received all of its run ends", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 100, endsComplete: false });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 100, endsComplete: false });
  node.run(60);
  t.deepEqual(node.starts, []);
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 100 });
  node.run(60);
  t.is(node.starts.length, 1);
});
