import { hostId } from "@heatherferry/common";
import test, { type ExecutionContext } from "ava";
import { storeVersion, WORKER_CLOSURE, type WorkerReport } from "../../src/index.js";
import { OwnerNode, reportOf, type PollEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN_WALL_MS = 100;
const LATER_WALL_MS = 200;
const BORN = { startWallMs: BORN_WALL_MS };

const SETTLE_MS = 400;

/** A registration for the host of `w1` under another id, with a later start. */
const AGENT: WorkerReport = {
  ...reportOf("agent", LATER_WALL_MS, "10.0.0.9:1"),
  host: hostId("m-w1"),
};

/** Returns a node with an idle worker that has answered. */
const nodeWithWorker = (): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w1", BORN_WALL_MS));
  node.answerPoll(node.nextPollOf("w1"), BORN);
  return node;
};

const submitOne = (node: OwnerNode, id = "00000000000000aa"): void => {
  node.submit(id, workOf([stepOf(1, 500, [])]));
  node.run(SETTLE_MS);
};

const startedOn = (node: OwnerNode): readonly string[] =>
  node.starts.map(({ worker }) => String(worker));

/** Answers the open polls of the worker, and fails those of the agent, for a time. */
const runWithDeadAgent = (node: OwnerNode, forMs: number): void => {
  const untilMs = node.nowMs + forMs;
  while (node.nowMs < untilMs) {
    node.run(20);
    for (const poll of node.openPolls()) {
      if (poll.worker === AGENT.id) {
        node.failPoll(poll, false);
      } else {
        node.answerPoll(poll, BORN);
      }
    }
  }
};

// Guards against LOST: entries of another writer take the hosts of a pool from its idle workers.
for (const [what, change] of [
  ["with all fields", {}],
  ["of a worker that drains", { draining: true, drainRemainingMs: 1_000 }],
  ["without a start", { startWallMs: null }],
] as const) {
  test(`a registration ${what} that nobody answers for keeps an idle worker from work`, (t) => {
    const node = nodeWithWorker();
    node.register({ ...AGENT, ...change });
    runWithDeadAgent(node, SETTLE_MS);
    submitOne(node);
    t.deepEqual(startedOn(node), ["w1"]);
  });
}

test("a registration that is written again and again keeps a worker from work", (t) => {
  const node = nodeWithWorker();
  for (let sequence = 0; sequence < 5; sequence += 1) {
    node.register({ ...AGENT, startWallMs: LATER_WALL_MS + sequence });
    runWithDeadAgent(node, SETTLE_MS);
  }
  submitOne(node);
  t.deepEqual(startedOn(node), ["w1"]);
});

// Guards against the same after a change of owner, when nobody has answered yet.
test("a new owner takes a host from its worker, or sends it orders before it has answered", (t) => {
  const version = storeVersion(1);
  const node = new OwnerNode({
    workers: [
      { type: "worker", version, report: reportOf("w1", BORN_WALL_MS) },
      { type: "worker", version, report: AGENT },
    ],
  });
  submitOne(node);
  t.deepEqual(startedOn(node), []);
  runWithDeadAgent(node, SETTLE_MS);
  t.deepEqual(startedOn(node), ["w1"]);
});

/** Registers the worker that follows after a restart of the host. */
const restart = (node: OwnerNode): PollEffect => {
  node.register({ ...AGENT, address: reportOf("w1", BORN_WALL_MS).address });
  return node.nextPollOf("agent");
};

const assertNothingOrdered = (t: ExecutionContext, node: OwnerNode): void => {
  submitOne(node);
  t.deepEqual(startedOn(node), []);
};

// Guards against orders at a worker whose host has restarted, while its registration still stands.
test("a worker gets an order before it has answered after a newer one was registered", (t) => {
  const node = nodeWithWorker();
  restart(node);
  assertNothingOrdered(t, node);
});

test("an answer to a poll from before its host restarted opens a worker", (t) => {
  const node = nodeWithWorker();
  submitOne(node);
  const [start] = node.starts;
  t.truthy(start);
  const earlier = node.nextPollOf("w1");
  const sentAtMs = node.nowMs;
  node.run(20);
  restart(node);
  node.answerPoll(earlier, { ...BORN, sentAtMs });
  node.submit("00000000000000bb", workOf([stepOf(1, 500, [])]));
  node.run(SETTLE_MS);
  t.is(node.starts.length, 1);
});

test("a host stays with its earlier worker although a newer one has answered", (t) => {
  const node = nodeWithWorker();
  const poll = restart(node);
  const earlier = node.nextPollOf("w1");
  node.answerPoll(poll, { startWallMs: LATER_WALL_MS });
  node.answerPoll(earlier, BORN);
  submitOne(node);
  t.deepEqual(startedOn(node), ["agent"]);
});

test("a worker whose host is contested waits for a run end before it answers", (t) => {
  const node = nodeWithWorker();
  submitOne(node);
  const [start] = node.starts;
  t.truthy(start);
  if (start === undefined) {
    return;
  }
  node.answerStart(start, "started");
  const { item, run } = start;
  const running = [{ item, run, checkpoint: "", percent: 1, load: null }];
  node.answerPoll(node.nextPollOf("w1"), { ...BORN, running });
  node.register(AGENT);
  node.answerPoll(node.nextPollOf("w1"), { ...BORN, running, sentAtMs: node.nowMs - 1_000 });
  const poll = node.nextPollOf("w1");
  t.is(poll.waitMs, 0);
  node.answerPoll(poll, { ...BORN, running });
  submitOne(node, "00000000000000bb");
  t.deepEqual(startedOn(node), ["w1", "w1"]);
});

test("no line names the registration that keeps a host from its worker, or each poll has one", (t) => {
  const node = nodeWithWorker();
  node.register(AGENT);
  runWithDeadAgent(node, SETTLE_MS);
  node.register({ ...AGENT, startWallMs: LATER_WALL_MS + 1 });
  runWithDeadAgent(node, SETTLE_MS);
  t.like(
    node.logged("worker.registrationRefuted").map(({ fields }) => fields),
    [{ registration: AGENT.id, host: AGENT.host, address: AGENT.address, worker: "w1" }],
  );
});

test("a submission that waits for a contested worker does not lead to the registration", (t) => {
  const node = nodeWithWorker();
  node.register(AGENT);
  submitOne(node);
  node.run(4_000);
  t.like(
    node.logged("submission.starved").map(({ fields }) => fields),
    [{ closure: WORKER_CLOSURE.CONTESTED, worker: "w1", otherRegistration: "agent" }],
  );
});
