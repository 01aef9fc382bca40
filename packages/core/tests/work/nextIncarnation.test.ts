import test from "ava";
import type { ItemKey, RunningLine } from "../../src/index.js";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";
const START_WALL_MS = 100;
const NEXT_START_WALL_MS = 200;

const lineOf = ({ item, run }: { item: ItemKey; run: number }): RunningLine => ({
  item,
  run,
  checkpoint: "",
  percent: 10,
  load: null,
});

/** Returns a node that has ordered one item on a worker and then gets a second, free worker. */
const nodeWithOrder = (): { node: OwnerNode; start: StartEffect } => {
  const node = new OwnerNode();
  node.register(reportOf("w", START_WALL_MS));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: START_WALL_MS });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("the node sent no start order; check that the worker has capacity");
  }
  node.register(reportOf("other", START_WALL_MS, "10.0.0.3:1"));
  node.answerPoll(node.lastPollOf("other"), { startWallMs: START_WALL_MS });
  return { node, start };
};

const startsOnOther = (node: OwnerNode): number =>
  node.starts.filter(({ worker }) => worker === "other").length;

/** Fails all polls for a time. */
const failPolls = (node: OwnerNode, forMs: number): void => {
  const untilMs = node.nowMs + forMs;
  while (node.nowMs < untilMs) {
    node.run(500);
    node.openPolls().forEach((look) => {
      node.failPoll(look, false);
    });
  }
};

/**
 * Returns a node whose first start order is unanswered, whose second is confirmed, and a poll lists
 * the run.
 */
const nodeWithUnresolvedOrder = (): { node: OwnerNode; start: StartEffect } => {
  const { node, start } = nodeWithOrder();
  node.run(600);
  node.answerStart(start, "unanswered");
  node.run(20);
  const resent = node.starts.at(-1) ?? start;
  node.answerStart(resent, "started");
  node.answerPoll(node.nextPollOf("w"), { startWallMs: START_WALL_MS, running: [lineOf(start)] });
  return { node, start };
};

test("an unanswered order is carried out by the next incarnation beside a new run", (t) => {
  const { node, start } = nodeWithUnresolvedOrder();
  node.register(reportOf("w", NEXT_START_WALL_MS));
  node.run(300);
  t.is(startsOnOther(node), 0);
  node.answerPoll(node.lastPollOf("w"), {
    startWallMs: NEXT_START_WALL_MS,
    running: [lineOf(start)],
  });
  node.run(300);
  t.is(startsOnOther(node), 0);
});

test("an order that the next incarnation never received keeps its item forever", (t) => {
  const { node } = nodeWithUnresolvedOrder();
  node.register(reportOf("w", NEXT_START_WALL_MS));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: NEXT_START_WALL_MS });
  const [stop] = node.stops;
  t.is(stop?.startWallMs, NEXT_START_WALL_MS);
  if (stop === undefined) {
    return;
  }
  node.answerStop(stop);
  const startsAgain = (): number => node.starts.filter(({ run }) => run > 1).length;
  for (let polls = 0; polls < 10 && startsAgain() === 0; polls += 1) {
    node.answerPoll(node.nextPollOf("w"), { startWallMs: NEXT_START_WALL_MS });
    node.run(100);
  }
  t.is(startsAgain(), 1);
});

test("a run that a poll has listed waits for an incarnation that has ended", (t) => {
  const { node, start } = nodeWithOrder();
  node.answerStart(start, "started");
  node.answerPoll(node.nextPollOf("w"), { startWallMs: START_WALL_MS, running: [lineOf(start)] });
  node.register(reportOf("w", NEXT_START_WALL_MS));
  node.run(100);
  t.is(startsOnOther(node), 0);
  node.answerPoll(node.lastPollOf("w"), { startWallMs: NEXT_START_WALL_MS });
  node.run(100);
  t.is(startsOnOther(node), 1);
});

test("an order confirmed by an incarnation that wasn't known yet is started elsewhere too", (t) => {
  const { node, start } = nodeWithOrder();
  node.answerStart(start, "started");
  node.answerPoll(node.nextPollOf("w"), {
    startWallMs: NEXT_START_WALL_MS,
    running: [lineOf(start)],
  });
  node.answerPoll(node.nextPollOf("w"), {
    startWallMs: NEXT_START_WALL_MS,
    running: [lineOf(start)],
  });
  node.run(300);
  t.is(startsOnOther(node), 0);
});

test("a stop confirmed by the previous incarnation counts for one that never received it", (t) => {
  const { node } = nodeWithOrder();
  for (let orders = 1; orders <= 3; orders += 1) {
    node.run(600);
    node.starts.slice(-1).forEach((start) => {
      node.answerStart(start, "unanswered");
    });
  }
  node.answerPoll(node.nextPollOf("w"), { startWallMs: START_WALL_MS });
  node.stops.forEach((stop) => {
    node.answerStop(stop);
  });
  node.register(reportOf("w", NEXT_START_WALL_MS));
  for (let polls = 0; polls < 10; polls += 1) {
    node.answerPoll(node.nextPollOf("w"), { startWallMs: NEXT_START_WALL_MS });
  }
  t.is(startsOnOther(node), 0);
  t.is(node.stops.at(-1)?.startWallMs, NEXT_START_WALL_MS);
});

test("the lease that a late order grants a next incarnation outlasts what the owner expects", (t) => {
  const { node } = nodeWithUnresolvedOrder();
  node.register({ ...reportOf("w", NEXT_START_WALL_MS), clockMs: 0 });
  failPolls(node, 6_000);
  t.is(startsOnOther(node), 0);
  failPolls(node, BOUNDS.holdMaxMs);
  t.is(startsOnOther(node), 1);
});

test("an unanswered order is discarded with the lease and the next incarnation carries it out", (t) => {
  const { node } = nodeWithOrder();
  for (let orders = 1; orders <= 3; orders += 1) {
    node.run(600);
    node.starts.slice(-1).forEach((start) => {
      node.answerStart(start, "unanswered");
    });
  }
  failPolls(node, 5_000);
  t.is(startsOnOther(node), 0);
  failPolls(node, 3_000);
  t.is(startsOnOther(node), 1);
});

test("an answer of the previous incarnation sets the clock of the next one far ahead", (t) => {
  const { node, start } = nodeWithOrder();
  node.register({ ...reportOf("w", NEXT_START_WALL_MS), clockMs: 0 });
  node.answerStart(start, "started", 600_000);
  node.answerPoll(node.lastPollOf("w"), { startWallMs: NEXT_START_WALL_MS, clockMs: 200 });
  t.true((node.nextPollOf("w").untilClockMs ?? 0) < 10_000);
});
