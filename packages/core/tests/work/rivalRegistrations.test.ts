import test from "ava";
import type { RunningLine, WorkerReport } from "../../src/index.js";
import { OwnerNode, reportOf, type PollEffect, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN_WALL_MS = 100;
const LATER_WALL_MS = 200;
const BORN = { startWallMs: BORN_WALL_MS };

const SETTLE_MS = 400;

/** Longer than a lease on a worker whose clock is 2% slow. */
const LEASE_MS = 4_500;

const AGENT_ADDRESS = "10.0.0.9:1";

/** A registration of another writer under the id of worker "w". */
const AGENT = reportOf("w", LATER_WALL_MS, AGENT_ADDRESS);

const lineOf = ({ item, run }: StartEffect): RunningLine => ({
  item,
  run,
  checkpoint: "",
  percent: 10,
  load: null,
});

/** Returns a node with a worker that has answered. */
const nodeWithWorker = (): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w", BORN_WALL_MS));
  node.answerPoll(node.nextPollOf("w"), BORN);
  return node;
};

const submitOne = (node: OwnerNode, id: string): void => {
  node.submit(id, workOf([stepOf(1, 500, [])]));
  node.run(SETTLE_MS);
};

/** Returns a node on whose worker an item runs, with a second worker that is idle. */
const nodeWithRun = (): { node: OwnerNode; running: readonly RunningLine[] } => {
  const node = nodeWithWorker();
  submitOne(node, "00000000000000aa");
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("the node sent no start order; check that the worker has capacity");
  }
  node.answerStart(start, "started");
  const running = [lineOf(start)];
  node.answerPoll(node.nextPollOf("w"), { ...BORN, running });
  node.register(reportOf("other", BORN_WALL_MS, "10.0.0.3:1"));
  node.answerPoll(node.nextPollOf("other"), BORN);
  return { node, running };
};

/** Answers the open polls at the worker's own address, and fails those elsewhere, for a time. */
const runWithDeadAgent = (
  node: OwnerNode,
  forMs: number,
  running: readonly RunningLine[] = [],
): void => {
  const untilMs = node.nowMs + forMs;
  while (node.nowMs < untilMs) {
    node.run(20);
    for (const poll of node.openPolls()) {
      if (poll.address === AGENT_ADDRESS) {
        node.failPoll(poll, false);
      } else {
        node.answerPoll(poll, { ...BORN, running: poll.worker === "w" ? running : [] });
      }
    }
  }
};

const pollsOf = (node: OwnerNode, address: string): readonly PollEffect[] =>
  node.openPolls().filter((poll) => poll.worker === "w" && poll.address === address);

const rivals: readonly (readonly [string, Partial<WorkerReport>])[] = [
  ["with a later start at another address", {}],
  ["with an earlier start at another address", { startWallMs: 50 }],
  ["with the same start at another address", { startWallMs: BORN_WALL_MS }],
  ["without a start at another address", { startWallMs: null }],
  ["with a later start at its own address", { address: reportOf("w", 0).address }],
  ["of a worker that drains", { draining: true, drainRemainingMs: 1_000 }],
];

// Guards against LOST: an entry under a worker's id, for which nobody answers, ends its use.
for (const [what, change] of rivals) {
  test(`a registration ${what} keeps an idle worker from work`, (t) => {
    const node = nodeWithWorker();
    node.register({ ...AGENT, ...change });
    runWithDeadAgent(node, SETTLE_MS);
    submitOne(node, "00000000000000bb");
    t.deepEqual(
      node.starts.map(({ address }) => address),
      [reportOf("w", BORN_WALL_MS).address],
    );
  });
}

// Guards against TWICE: the same entry counts as a restart, which ends what runs there.
for (const [what, change] of rivals) {
  test(`a registration ${what} starts running work a second time`, (t) => {
    const { node, running } = nodeWithRun();
    node.register({ ...AGENT, ...change });
    runWithDeadAgent(node, 2 * LEASE_MS, running);
    t.is(node.starts.length, 1);
  });
}

test("two writers that take turns under one id close its worker each time", (t) => {
  const node = nodeWithWorker();
  for (let sequence = 0; sequence < 3; sequence += 1) {
    node.register(AGENT);
    runWithDeadAgent(node, SETTLE_MS);
    node.register(reportOf("w", BORN_WALL_MS));
    node.run(SETTLE_MS);
  }
  node.register(AGENT);
  node.run(SETTLE_MS);
  t.deepEqual(pollsOf(node, AGENT_ADDRESS), []);
  submitOne(node, "00000000000000bb");
  t.is(node.starts.length, 1);
});

// Guards against the same after a change of owner, which reads the entry of the other writer first.
test("a worker stays closed because another writer's entry under its id was read first", (t) => {
  const node = new OwnerNode();
  node.register(AGENT);
  runWithDeadAgent(node, SETTLE_MS);
  node.register(reportOf("w", BORN_WALL_MS));
  runWithDeadAgent(node, SETTLE_MS);
  node.register(AGENT);
  runWithDeadAgent(node, SETTLE_MS);
  submitOne(node, "00000000000000bb");
  t.deepEqual(
    node.starts.map(({ startWallMs }) => startWallMs),
    [BORN_WALL_MS],
  );
});

// Guards against orders to an incarnation that has ended, while the next one is known by name only.
test("a worker that may have restarted gets orders, leases or acknowledgements before it answers", (t) => {
  const { node } = nodeWithRun();
  const earlier = node.nextPollOf("w");
  node.register(reportOf("w", LATER_WALL_MS));
  submitOne(node, "00000000000000bb");
  node.failPoll(earlier, false);
  node.run(SETTLE_MS);
  t.is(node.starts.filter(({ worker }) => worker === "w").length, 1);
  const polls = node.openPolls().filter(({ worker }) => worker === "w");
  t.is(polls.length, 2);
  for (const { untilClockMs, acknowledgedSequence, waitMs } of polls) {
    t.deepEqual([untilClockMs, acknowledgedSequence, waitMs], [null, 0, 0]);
  }
});

test("a poll from before the worker restarted is taken for an answer after it", (t) => {
  const { node, running } = nodeWithRun();
  const earlier = node.nextPollOf("w");
  const sentAtMs = node.nowMs;
  node.run(20);
  node.register(AGENT);
  node.answerPoll(earlier, { ...BORN, running, sentAtMs });
  node.run(20);
  t.is(pollsOf(node, AGENT_ADDRESS).length, 1);
});

test("a restarted worker is polled a second time before it gets work", (t) => {
  const node = nodeWithWorker();
  node.register({ ...AGENT, clockMs: 0 });
  node.run(20);
  const [poll] = pollsOf(node, AGENT_ADDRESS);
  t.truthy(poll);
  if (poll !== undefined) {
    node.answerPoll(poll, { startWallMs: LATER_WALL_MS, clockMs: 20 });
  }
  submitOne(node, "00000000000000bb");
  t.deepEqual(
    node.starts.map(({ startWallMs, address }) => [startWallMs, address]),
    [[LATER_WALL_MS, AGENT.address]],
  );
});

// Guards against a restarted worker that waits a second for a poll, which waits for a run end, before
// it may start again what an order to it before the restart left open.
test("the answer of a restarted worker does not show that it never received an order", (t) => {
  const node = nodeWithWorker();
  submitOne(node, "00000000000000aa");
  node.starts.forEach((start) => {
    node.answerStart(start, "unanswered");
  });
  node.register(reportOf("w", LATER_WALL_MS));
  node.run(20);
  const sentAtMs = node.nowMs;
  node.run(20);
  const poll = node.polls.findLast(({ startWallMs }) => startWallMs === LATER_WALL_MS);
  t.truthy(poll);
  if (poll !== undefined) {
    node.answerPoll(poll, { startWallMs: LATER_WALL_MS, clockMs: 20, sentAtMs });
  }
  t.is(node.stops.at(-1)?.startWallMs, LATER_WALL_MS);
});

test("a restarted worker waits until another process has refused polls at its old address", (t) => {
  const node = nodeWithWorker();
  node.register(AGENT);
  node.run(20);
  for (const poll of node.openPolls()) {
    node.failPoll(poll, poll.address !== AGENT_ADDRESS);
  }
  t.is(node.nextPollOf("w").startWallMs, LATER_WALL_MS);
  node.answerPoll(node.nextPollOf("w"), { startWallMs: LATER_WALL_MS });
  submitOne(node, "00000000000000bb");
  t.is(node.starts.length, 1);
});

test("no line names the registration that has a worker's id, or each of its changes has one", (t) => {
  const node = nodeWithWorker();
  for (const startWallMs of [LATER_WALL_MS, LATER_WALL_MS + 1]) {
    node.register({ ...AGENT, startWallMs });
    runWithDeadAgent(node, SETTLE_MS);
  }
  t.like(
    node.logged("worker.registrationRefuted").map(({ fields }) => fields),
    [{ registration: "w", address: AGENT.address, worker: "w" }],
  );
});
