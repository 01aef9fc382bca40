import test from "ava";
import type { ItemKey, RunningLine } from "../../src/index.js";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const ID = "00000000000000aa";
const BORN = 100;
const NEXT_BORN = 200;

const lineOf = ({ item, run }: { item: ItemKey; run: number }): RunningLine => ({
  item,
  run,
  checkpoint: "",
  percent: 10,
  load: null,
});

/** A node that has ordered one item on a worker; a second worker comes that is free. */
const nodeWithOrder = (): { node: OwnerNode; start: StartEffect } => {
  const node = new OwnerNode();
  node.list(reportOf("w", BORN));
  node.answerLook(node.lookAt("w"), { bornWallMs: BORN });
  node.submit(ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("nothing was ordered");
  }
  node.list(reportOf("other", BORN, "10.0.0.3:1"));
  node.answerLook(node.lookAt("other"), { bornWallMs: BORN });
  return { node, start };
};

const startsElsewhere = (node: OwnerNode): number =>
  node.starts.filter(({ worker }) => worker === "other").length;

/** No worker answers for a time. */
const failLooks = (node: OwnerNode, forMs: number): void => {
  const untilMs = node.nowMs + forMs;
  while (node.nowMs < untilMs) {
    node.run(500);
    node.openLooks().forEach((look) => {
      node.failLook(look, false);
    });
  }
};

/** The first order has no answer, the second one is confirmed, and a look shows the run. */
const nodeWithLooseOrder = (): { node: OwnerNode; start: StartEffect } => {
  const { node, start } = nodeWithOrder();
  node.run(600);
  node.answerStart(start, "unanswered");
  node.run(20);
  const again = node.starts.at(-1) ?? start;
  node.answerStart(again, "started");
  node.answerLook(node.nextLookAt("w"), { bornWallMs: BORN, running: [lineOf(start)] });
  return { node, start };
};

test("an order that had no answer is carried out by the worker's next life beside a new run", (t) => {
  const { node, start } = nodeWithLooseOrder();
  node.list(reportOf("w", NEXT_BORN));
  node.run(300);
  t.is(startsElsewhere(node), 0);
  node.answerLook(node.lookAt("w"), { bornWallMs: NEXT_BORN, running: [lineOf(start)] });
  node.run(300);
  t.is(startsElsewhere(node), 0);
});

test("an order that a worker's next life never got keeps its item for good", (t) => {
  const { node } = nodeWithLooseOrder();
  node.list(reportOf("w", NEXT_BORN));
  node.answerLook(node.lookAt("w"), { bornWallMs: NEXT_BORN });
  const [stop] = node.stops;
  t.is(stop?.bornWallMs, NEXT_BORN);
  if (stop === undefined) {
    return;
  }
  node.answerStop(stop);
  const startsAgain = (): number => node.starts.filter(({ run }) => run > 1).length;
  for (let looks = 0; looks < 10 && startsAgain() === 0; looks += 1) {
    node.answerLook(node.nextLookAt("w"), { bornWallMs: NEXT_BORN });
    node.run(100);
  }
  t.is(startsAgain(), 1);
});

test("a run that a look showed waits for a life that is over", (t) => {
  const { node, start } = nodeWithOrder();
  node.answerStart(start, "started");
  node.answerLook(node.nextLookAt("w"), { bornWallMs: BORN, running: [lineOf(start)] });
  node.list(reportOf("w", NEXT_BORN));
  node.run(100);
  t.is(startsElsewhere(node), 1);
});

test("an order confirmed by a life that was not known yet is started elsewhere beside it", (t) => {
  const { node, start } = nodeWithOrder();
  node.answerStart(start, "started");
  node.answerLook(node.nextLookAt("w"), { bornWallMs: NEXT_BORN, running: [lineOf(start)] });
  node.answerLook(node.nextLookAt("w"), { bornWallMs: NEXT_BORN, running: [lineOf(start)] });
  node.run(300);
  t.is(startsElsewhere(node), 0);
});

test("a stop that the life before confirmed counts for a life that never had it", (t) => {
  const { node } = nodeWithOrder();
  for (let orders = 1; orders <= 3; orders += 1) {
    node.run(600);
    node.starts.slice(-1).forEach((start) => {
      node.answerStart(start, "unanswered");
    });
  }
  node.answerLook(node.nextLookAt("w"), { bornWallMs: BORN });
  node.stops.forEach((stop) => {
    node.answerStop(stop);
  });
  node.list(reportOf("w", NEXT_BORN));
  for (let looks = 0; looks < 10; looks += 1) {
    node.answerLook(node.nextLookAt("w"), { bornWallMs: NEXT_BORN });
  }
  t.is(startsElsewhere(node), 0);
  t.is(node.stops.at(-1)?.bornWallMs, NEXT_BORN);
});

test("a lease that a late order grants a worker's next life outlasts what the owner counts on", (t) => {
  const { node } = nodeWithLooseOrder();
  node.list({ ...reportOf("w", NEXT_BORN), clockMs: 0 });
  failLooks(node, 6_000);
  t.is(startsElsewhere(node), 0);
  failLooks(node, BOUNDS.holdMaxMs);
  t.is(startsElsewhere(node), 1);
});

test("an order without an answer is forgotten with the lease and carried out by the next life", (t) => {
  const { node } = nodeWithOrder();
  for (let orders = 1; orders <= 3; orders += 1) {
    node.run(600);
    node.starts.slice(-1).forEach((start) => {
      node.answerStart(start, "unanswered");
    });
  }
  failLooks(node, 5_000);
  t.is(startsElsewhere(node), 0);
  failLooks(node, 3_000);
  t.is(startsElsewhere(node), 1);
});

test("an answer of the life before sets the clock of the next one far ahead", (t) => {
  const { node, start } = nodeWithOrder();
  node.list({ ...reportOf("w", NEXT_BORN), clockMs: 0 });
  node.answerStart(start, "started", 600_000);
  node.answerLook(node.lookAt("w"), { bornWallMs: NEXT_BORN, clockMs: 200 });
  t.true((node.nextLookAt("w").untilClockMs ?? 0) < 10_000);
});
