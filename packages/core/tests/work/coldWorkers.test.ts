import test from "ava";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

/** An owner with two workers that have answered, one of which is slow after its start. */
const nodeWithColdWorker = (coldRemainingMs: number): OwnerNode => {
  const node = new OwnerNode();
  node.register({ ...reportOf("cold", 1, "10.0.0.1:1"), coldRemainingMs });
  node.register(reportOf("warm", 1, "10.0.0.2:1"));
  for (const id of ["cold", "warm"]) {
    node.answerPoll(node.nextPollOf(id), { startWallMs: 1 });
  }
  return node;
};

const startedOn = (starts: readonly StartEffect[]): string[] => starts.map(({ worker }) => worker);

test("work starts on a worker that is slow after its start although a warm one has room", (t) => {
  const node = nodeWithColdWorker(60_000);
  node.submit("00000000000000a0", workOf([stepOf(3, 1_000, [])]));
  node.run(100);
  t.deepEqual(startedOn(node.starts), ["warm", "warm", "warm"]);
});

test("work waits for a warm worker", (t) => {
  const node = nodeWithColdWorker(60_000);
  node.submit("00000000000000a0", workOf([stepOf(6, 1_000, [])]));
  node.run(100);
  t.deepEqual(startedOn(node.starts).sort(), ["cold", "cold", "warm", "warm", "warm", "warm"]);
});

test("a worker counts as slow after its time is over", (t) => {
  const node = nodeWithColdWorker(50);
  node.run(100);
  node.submit("00000000000000a0", workOf([stepOf(1, 1_000, [])]));
  node.run(100);
  t.deepEqual(startedOn(node.starts), ["cold"]);
});
