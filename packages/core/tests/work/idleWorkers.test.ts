import test from "ava";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";
const START_WALL_MS = 100;

/** Longest lease, on the worker's clock, that a successor waits for. */
const LEASE_TERM_MS = 4_000;

/** Slowest rate of a worker's clock. */
const CLOCK_RATE = 0.98;

/** Shorter leases end before the first poll after the start can extend them. */
const SHORTEST_LEASE_MS = 3_000;

const clockOf = ({ nowMs }: OwnerNode): number => Math.floor(nowMs * CLOCK_RATE);

const answerOpenPolls = (node: OwnerNode): void => {
  node.openPolls().forEach((poll) => {
    node.answerPoll(poll, { startWallMs: START_WALL_MS, clockMs: clockOf(node) });
  });
};

/** Returns an owner whose only worker, with a slow clock, has had nothing to do for some time. */
const ownerWithIdleWorker = (idleMs: number): OwnerNode => {
  const node = new OwnerNode();
  node.register({ ...reportOf("w", START_WALL_MS), clockMs: clockOf(node) });
  answerOpenPolls(node);
  for (let waitedMs = 0; waitedMs < idleMs; waitedMs += 100) {
    node.run(100);
    answerOpenPolls(node);
  }
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  return node;
};

/** Runs until a start order is sent, and returns it; polls are answered. */
const nextStart = (node: OwnerNode): StartEffect => {
  for (let waitedMs = 0; waitedMs < 1_000; waitedMs += 20) {
    const [start] = node.starts;
    if (start !== undefined) {
      return start;
    }
    node.run(20);
    answerOpenPolls(node);
  }
  throw new Error("the node sent no start order; check that the worker has capacity");
};

/** Returns how long the lease of a start order lasts that has just been sent. */
const leaseOf = (node: OwnerNode, start: StartEffect): number => start.untilClockMs - clockOf(node);

// Guards against TWICE: a lease that is granted by an old reading of a slow clock lasts longer than
// the next owner waits for, so that it starts the item elsewhere while it still runs.
for (const idleMs of [5_000, 15_000, 80_000, 3_600_000]) {
  test(`the lease on a worker that was idle for ${idleMs} ms outlasts what a successor waits for`, (t) => {
    const node = ownerWithIdleWorker(idleMs);
    const leaseMs = leaseOf(node, nextStart(node));
    t.true(leaseMs <= LEASE_TERM_MS, `${leaseMs} ms`);
    t.true(leaseMs >= SHORTEST_LEASE_MS, `${leaseMs} ms`);
  });
}

test("work is lost that waits for the clock of an idle worker that does not answer", (t) => {
  const node = ownerWithIdleWorker(80_000);
  node.run(100);
  t.is(node.starts.length, 0);
  node.failPoll(node.nextPollOf("w"), false);
  node.register(reportOf("other", START_WALL_MS, "10.0.0.3:1"));
  node.run(20);
  node.answerPoll(node.nextPollOf("other"), { startWallMs: START_WALL_MS });
  node.run(200);
  t.deepEqual(
    node.starts.map(({ worker }) => String(worker)),
    ["other"],
  );
});

test("an owner that is no longer confirmed starts work that waited for a worker's clock", (t) => {
  const node = ownerWithIdleWorker(80_000);
  node.run(100);
  node.rejectionOf = () => "test";
  node.run(2_000);
  answerOpenPolls(node);
  node.run(100);
  t.is(node.starts.length, 0);
});

test("the poll that reads the clock of an idle worker waits for a run to end", (t) => {
  const node = ownerWithIdleWorker(80_000);
  t.is(node.nextPollOf("w").waitMs, 0);
});
