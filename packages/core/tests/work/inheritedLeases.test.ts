import { poolId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, workerId, type StoreRow } from "../../src/index.js";
import { OwnerNode, reportOf, submissionRowOf } from "./ownerNode.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";
const START_WALL_MS = 100;
const NEXT_START_WALL_MS = 200;

/** Lease that an owner grants by the clock of the incarnation that it knows. */
const LEASE_TERM_MS = 4_000;

/** Longer than such a lease on a worker whose clock is 2% slow. */
const GRANTED_LEASE_MS = 4_500;

/** Longer than the longest lease of a worker whose clock is 2% slow. */
const LONGEST_LEASE_MS = BOUNDS.holdMaxMs * 1.03;

/** Longest time that an order takes to be carried out. */
const ORDER_DELAY_MS = 6_000;

const leaseRow = (incarnation: object): StoreRow => ({
  type: "lease",
  version: storeVersion(1),
  worker: workerId("w"),
  lease: {
    pool: poolId("mills"),
    items: { [`${SUBMISSION_ID}.0.0`]: [0] },
    stopping: false,
    ...incarnation,
  },
});

const handInRow: StoreRow = {
  type: "handIn",
  version: storeVersion(1),
  submission: submissionRowOf(SUBMISSION_ID, workOf([stepOf(1, 500, [])])),
};

/** Returns a new owner that reads this lease row of worker "w". */
const successorWith = (lease: StoreRow): OwnerNode =>
  new OwnerNode({ leases: [lease], handIns: [handInRow] });

const failPolls = (node: OwnerNode, forMs: number): void => {
  const untilMs = node.nowMs + forMs;
  while (node.nowMs < untilMs) {
    node.run(100);
    node.openPolls().forEach((poll) => {
      node.failPoll(poll, false);
    });
  }
};

const startsOn = (node: OwnerNode, worker: string): number =>
  node.starts.filter((start) => start.worker === worker).length;

/**
 * Lets the incarnation that started at `startWallMs` answer one poll, start the item, and not
 * answer any more; a second worker is free.
 */
const startAndLose = (node: OwnerNode, startWallMs: number): void => {
  node.register({ ...reportOf("w", startWallMs), clockMs: 0 });
  node.answerPoll(node.nextPollOf("w"), { startWallMs, clockMs: 0 });
  node.run(100);
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("the node sent no start order; check that the worker has capacity");
  }
  node.answerStart(start, "started", 50);
  node.register(reportOf("other", START_WALL_MS, "10.0.0.3:1"));
  node.answerPoll(node.nextPollOf("other"), { startWallMs: START_WALL_MS });
};

// Guards against TWICE: a successor takes the lease of a worker's next incarnation, which an order
// by the clock of the previous one may have extended to its maximum, for one of its own.
test("a successor gives up a run before the lease that the previous owner granted has ended", (t) => {
  const node = successorWith(leaseRow({ startWallMs: START_WALL_MS }));
  startAndLose(node, NEXT_START_WALL_MS);
  failPolls(node, LONGEST_LEASE_MS - 1_000);
  t.is(startsOn(node, "other"), 0);
  failPolls(node, 2_000);
  t.is(startsOn(node, "other"), 1);
});

test("a row of an earlier version lets a successor give up a run too early", (t) => {
  const node = successorWith(leaseRow({}));
  startAndLose(node, NEXT_START_WALL_MS);
  failPolls(node, LONGEST_LEASE_MS - 1_000);
  t.is(startsOn(node, "other"), 0);
});

test("a late lease that the previous owner expected is unknown to its successor", (t) => {
  const node = successorWith(leaseRow({ startWallMs: START_WALL_MS, lateLeaseMs: 9_000 }));
  startAndLose(node, START_WALL_MS);
  failPolls(node, 7_500);
  t.is(startsOn(node, "other"), 0);
  failPolls(node, 2_000);
  t.is(startsOn(node, "other"), 1);
});

test("work waits for the longest lease although its worker has not restarted", (t) => {
  const node = successorWith(leaseRow({ startWallMs: START_WALL_MS, leaseTermMs: LEASE_TERM_MS }));
  startAndLose(node, START_WALL_MS);
  failPolls(node, GRANTED_LEASE_MS);
  t.is(startsOn(node, "other"), 1);
});

test("a row without a lease term lets a successor give up a run too early", (t) => {
  const node = successorWith(leaseRow({ startWallMs: START_WALL_MS }));
  startAndLose(node, START_WALL_MS);
  failPolls(node, LONGEST_LEASE_MS - 1_000);
  t.is(startsOn(node, "other"), 0);
  failPolls(node, 2_000);
  t.is(startsOn(node, "other"), 1);
});

test("an item is started elsewhere while it may run on a restarted worker that is out of reach", (t) => {
  const node = successorWith(leaseRow({ startWallMs: START_WALL_MS }));
  node.register({ ...reportOf("w", NEXT_START_WALL_MS), clockMs: 0 });
  node.register(reportOf("other", START_WALL_MS, "10.0.0.3:1"));
  node.answerPoll(node.lastPollOf("other"), { startWallMs: START_WALL_MS });
  failPolls(node, ORDER_DELAY_MS + LONGEST_LEASE_MS - 2_000);
  t.is(startsOn(node, "other"), 0);
  failPolls(node, 3_000);
  t.is(startsOn(node, "other"), 1);
});

/** Returns an owner with a run on worker "w" that a poll has listed. */
const ownerWithRun = (): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w", START_WALL_MS));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: START_WALL_MS });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("the node sent no start order; check that the worker has capacity");
  }
  node.answerStart(start, "started");
  const line = { item: start.item, run: start.run, checkpoint: "", percent: 10, load: null };
  node.answerPoll(node.nextPollOf("w"), { startWallMs: START_WALL_MS, running: [line] });
  return node;
};

test("a poll after a failed one extends the lease of a worker that may have restarted", (t) => {
  const node = ownerWithRun();
  t.not(node.nextPollOf("w").untilClockMs, null);
  node.failPoll(node.nextPollOf("w"), false);
  node.run(400);
  t.is(node.nextPollOf("w").untilClockMs, null);
});

test("the first poll of a new owner grants a lease by the clock of a stale registration", (t) => {
  const node = successorWith(leaseRow({ startWallMs: START_WALL_MS }));
  node.register({ ...reportOf("w", START_WALL_MS), clockMs: 600_000 });
  t.is(node.nextPollOf("w").untilClockMs, null);
});

test("a refused start leaves no row of a worker whose next incarnation may have received it", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", START_WALL_MS));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: START_WALL_MS });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 500, [])]));
  node.run(60);
  node.starts.forEach((start) => {
    node.answerStart(start, "refused");
  });
  node.run(600);
  t.deepEqual(node.writtenLeases("w").at(-1)?.items, {});
  t.is(node.writtenLeases("w").at(-1)?.startWallMs, START_WALL_MS);
  t.false(node.removedRows.some((row) => row.type === "lease"));
  node.answerPoll(node.nextPollOf("w"), { startWallMs: START_WALL_MS });
  node.run(1_000);
  t.true(node.removedRows.some((row) => row.type === "lease"));
});

test("the row of a restarted worker does not tell of the lease that a late order may grant", (t) => {
  const node = ownerWithRun();
  const earlier = node.writtenLeases("w").at(-1);
  node.register({ ...reportOf("w", NEXT_START_WALL_MS), clockMs: 0 });
  node.run(1_000);
  t.is(earlier?.startWallMs, START_WALL_MS);
  t.deepEqual(node.writtenLeases("w").at(-1), earlier);
  node.answerPoll(node.lastPollOf("w"), { startWallMs: NEXT_START_WALL_MS, clockMs: 0 });
  node.run(1_000);
  const [row] = node.writtenLeases("w").slice(-1);
  t.is(row?.startWallMs, NEXT_START_WALL_MS);
  t.true((row?.lateLeaseMs ?? 0) > 0);
});
