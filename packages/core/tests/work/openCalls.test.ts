import test from "ava";
import type { OpenCall, WorkloadState } from "../../src/index.js";
import { OwnerNode } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const CALLS = 300;
const WAIT_MS = 3_000;

const callIdAt = (index: number): string => `call-${index}`;

const arrive = (node: OwnerNode, index: number): void => {
  node.handle({
    type: "call/arrived",
    callId: callIdAt(index),
    kind: "submit",
    callerHost: "site.example",
    path: `/mills/${index.toString(16).padStart(16, "0")}`,
    key: "key",
    waitMs: WAIT_MS,
    bodyBytes: 100,
    work: workOf([stepOf(1, 1, [])]),
    problem: null,
  });
};

const workOfNode = (node: OwnerNode): WorkloadState => {
  const { work } = node.state;
  if (work === null) {
    throw new Error("the node has no workload state; create it with one");
  }
  return work;
};

const openCall = (work: WorkloadState, index: number): OpenCall => {
  const call = work.calls.get(callIdAt(index));
  if (call === undefined) {
    throw new Error(`call ${index} is not open`);
  }
  return call;
};

const settle = (node: OwnerNode, call: OpenCall, result: "refused" | "unanswered"): void => {
  node.handle({
    type: "store/commitSettled",
    commitId: call.commit?.commitId ?? "",
    result,
    sentAtMs: node.nowMs,
    version: null,
    rows: [],
    reason: "test",
  });
};

/** Returns a counter of the full iterations over the open calls from now on. */
const countIterations = (work: WorkloadState): (() => number) => {
  const { calls } = work;
  let iterations = 0;
  const values = calls.values.bind(calls);
  calls.values = () => {
    iterations += 1;
    return values();
  };
  return () => iterations;
};

test("each answer to a write and each clock tick iterates over all open calls", (t) => {
  const node = new OwnerNode();
  const work = workOfNode(node);
  for (let index = 0; index < CALLS; index += 1) {
    arrive(node, index);
  }
  t.is(work.calls.size, CALLS);
  const iterations = countIterations(work);
  for (let index = 0; index < CALLS / 2; index += 1) {
    settle(node, openCall(work, index), "refused");
  }
  t.is(work.calls.size, CALLS / 2);
  node.nowMs += 60;
  node.handle({ type: "clock/ticked" });
  t.is(iterations(), 0);
});

test("a call is answered late or its write isn't retried beside calls that are due at other times", (t) => {
  const node = new OwnerNode();
  const work = workOfNode(node);
  arrive(node, 0);
  const call = openCall(work, 0);
  settle(node, call, "unanswered");
  t.is(call.retryAtMs, node.nowMs + 100);
  arrive(node, 1);
  node.handle({ type: "call/abandoned", callId: callIdAt(1) });
  t.is(work.calls.size, 1);
  t.is(work.callsDue.size, 1);
  t.is(work.callOfCommit.size, 1);
  // The late answer to the first write still settles the call.
  node.run(4);
  t.is(work.calls.size, 0);
  arrive(node, 2);
  const last = openCall(work, 2);
  const answerByMs = last.answerByMs;
  for (; node.nowMs < answerByMs - 4; node.nowMs += 4) {
    node.handle({ type: "clock/ticked" });
    if (last.retryAtMs === null) {
      settle(node, last, "unanswered");
    }
    t.true(work.calls.has(callIdAt(2)));
    t.true((last.retryAtMs ?? 0) <= node.nowMs + 100);
  }
  node.nowMs = answerByMs + 40;
  node.handle({ type: "clock/ticked" });
  t.is(work.calls.size, 0);
  t.is(work.callsDue.size, 0);
  t.is(work.callOfCommit.size, 0);
});
