import test from "ava";
import { echoedTarget } from "../../src/index.js";
import { OwnerNode, reportOf, type PollEffect, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";
const OLD_ADDRESS = "10.0.0.1:1";
const NEW_ADDRESS = "10.0.0.2:1";

/**
 * Returns a node with a worker that restarted at another address, and the unanswered poll of the
 * old one.
 */
const nodeWithMovedWorker = (): { node: OwnerNode; oldPoll: PollEffect } => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100, OLD_ADDRESS));
  const oldPoll = node.lastPollOf("w");
  node.register(reportOf("w", 200, NEW_ADDRESS));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 200 });
  return { node, oldPoll };
};

/** Starts three items on the worker, then registers another one. Returns the start orders sent. */
const startItems = (node: OwnerNode): readonly StartEffect[] => {
  node.submit(SUBMISSION_ID, workOf([stepOf(3, 500, [])]));
  node.run(60);
  node.starts.forEach((start) => {
    node.answerStart(start, "started");
  });
  node.register(reportOf("other", 100, "10.0.0.3:1"));
  node.answerPoll(node.lastPollOf("other"), { startWallMs: 100 });
  return [...node.starts];
};

test("an answer of another process at a worker's old address starts its items twice", (t) => {
  const { node, oldPoll } = nodeWithMovedWorker();
  const starts = startItems(node);
  t.is(starts.length, 3);
  node.failPoll(oldPoll, true);
  node.run(200);
  t.is(node.starts.length, 3);
});

test("a failed poll of an old address counts against the worker's new incarnation", (t) => {
  const { node, oldPoll } = nodeWithMovedWorker();
  node.failPoll(oldPoll, false);
  t.is(startItems(node).length, 3);
});

test("an answer to a poll of the previous incarnation counts as one of the new incarnation", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100, OLD_ADDRESS));
  const oldPoll = node.lastPollOf("w");
  node.register(reportOf("w", 200, NEW_ADDRESS));
  node.answerPoll(oldPoll, { startWallMs: null });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  t.deepEqual(node.starts, []);
});

test("an answer to a poll under an earlier fencing token counts as accepting the current one", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  const poll = node.lastPollOf("w");
  node.answerPoll({ ...poll, fence: (poll.fence - 1) as typeof poll.fence }, { startWallMs: 100 });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  t.deepEqual(node.starts, []);
});

test("a refusal by another process at a worker's old address abandons a run of its new incarnation", (t) => {
  const { node } = nodeWithMovedWorker();
  const [start] = startItems(node);
  t.truthy(start);
  if (start === undefined) {
    return;
  }
  const { item, run } = start;
  const oldTarget = { ...echoedTarget(start), address: OLD_ADDRESS, startWallMs: 100 };
  const refused = { item, run, clockMs: null, reason: "status 421" };
  node.handle({ type: "worker/startAnswered", ...oldTarget, ...refused, result: "wrongLife" });
  node.handle({
    type: "worker/stopAnswered",
    ...oldTarget,
    ...refused,
    settled: false,
    wrongIncarnation: true,
  });
  node.run(200);
  t.is(node.starts.length, 3);
});

test("a registration without a start time hides that the worker has restarted", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.register({ ...reportOf("w", 0), startWallMs: null });
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 200 });
  node.run(40);
  t.is(node.lastPollOf("w").startWallMs, 200);
});

test("an unanswered poll of a wrongly registered address prevents further polls of the worker", (t) => {
  const { node } = nodeWithMovedWorker();
  t.is(startItems(node).length, 3);
  node.register(reportOf("w", 200, "10.0.0.9:1"));
  node.run(40);
  t.is(node.lastPollOf("w").address, "10.0.0.9:1");
  t.is(node.starts.length, 3);
});

test("a new incarnation discards unread run ends that are acknowledged to the previous one", (t) => {
  const { node } = nodeWithMovedWorker();
  const [start] = startItems(node);
  t.truthy(start);
  if (start === undefined) {
    return;
  }
  const { item, run } = start;
  const end = { sequence: 1, item, run, kind: "done", checkpoint: "" } as const;
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 200, ends: [end] });
  const acknowledgingPoll = node.nextPollOf("w");
  t.is(acknowledgingPoll.acknowledgedSequence, 1);
  node.run(1_000);
  node.failPoll(acknowledgingPoll, false);
  const cautiousPoll = node.nextPollOf("w");
  t.is(cautiousPoll.acknowledgedSequence, 0);
  t.is(cautiousPoll.waitMs, 0);
  node.answerPoll(cautiousPoll, { startWallMs: 200, ends: [end] });
  t.is(node.nextPollOf("w").acknowledgedSequence, 1);
});

test("a worker that restarted after its wall clock was set back never gets work again", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 2_000));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 2_000 });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  node.starts.forEach((start) => {
    node.answerStart(start, "started");
  });
  const poll = node.nextPollOf("w");
  node.register(reportOf("w", 500));
  node.answerPoll(poll, { startWallMs: 500 });
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 500 });
  node.run(8_000);
  t.is(node.starts.length, 2);
  t.is(node.starts[1]?.startWallMs, 500);
});
