import test from "ava";
import type { ItemKey } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const ID = "00000000000000aa";

test("an item found running before its turn and stopped starts before the step before is done", (t) => {
  const node = new OwnerNode();
  node.list(reportOf("w", 100));
  const look = node.lookAt("w");
  node.submit(ID, workOf([stepOf(1, 500, []), stepOf(1, 500, [0])]));
  const item = `${ID}.0.1.0` as ItemKey;
  const line = { item, run: 1, checkpoint: "", percent: 10, load: null };
  node.answerLook(look, { bornWallMs: 100, running: [line] });
  t.deepEqual(
    node.stops.map((stop) => stop.item),
    [item],
  );
  const end = { sequence: 1, item, run: 1, kind: "stopped", checkpoint: "" } as const;
  node.answerLook(node.nextLookAt("w"), { bornWallMs: 100, ends: [end] });
  node.run(200);
  t.deepEqual(
    node.starts.map((start) => start.item),
    [`${ID}.0.0.0`],
  );
});

/** A node whose only run is confirmed on the first of two workers. */
const nodeWithRun = (): OwnerNode => {
  const node = new OwnerNode();
  node.list(reportOf("w", 100));
  node.answerLook(node.lookAt("w"), { bornWallMs: 100 });
  node.submit(ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  node.starts.forEach((start) => {
    node.answerStart(start, "started");
  });
  return node;
};

test("one look whose answer is read late gives a run up", (t) => {
  const node = nodeWithRun();
  const look = node.nextLookAt("w");
  const sentAtMs = node.nowMs;
  node.run(1_200);
  node.answerLook(look, { bornWallMs: 100, sentAtMs });
  node.run(200);
  t.is(node.starts.length, 1);
});

test("a run that no look shows is kept for good", (t) => {
  const node = nodeWithRun();
  for (let looks = 0; looks < 10; looks += 1) {
    node.answerLook(node.nextLookAt("w"), { bornWallMs: 100 });
  }
  node.run(200);
  t.is(node.starts.length, 2);
});

test("a run is given up while its worker has more ends than it lists at a time", (t) => {
  const node = nodeWithRun();
  for (let looks = 0; looks < 10; looks += 1) {
    node.answerLook(node.nextLookAt("w"), { bornWallMs: 100, endsComplete: false });
  }
  node.run(200);
  t.is(node.starts.length, 1);
});

test("a new owner starts work on a worker whose ends it has heard in part", (t) => {
  const node = new OwnerNode();
  node.list(reportOf("w", 100));
  node.answerLook(node.lookAt("w"), { bornWallMs: 100, endsComplete: false });
  node.submit(ID, workOf([stepOf(1, 500, [])]));
  node.answerLook(node.nextLookAt("w"), { bornWallMs: 100, endsComplete: false });
  node.run(60);
  t.deepEqual(node.starts, []);
  node.answerLook(node.nextLookAt("w"), { bornWallMs: 100 });
  node.run(60);
  t.is(node.starts.length, 1);
});
