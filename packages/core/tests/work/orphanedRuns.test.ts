import { poolId } from "@heatherferry/common";
import test, { type ExecutionContext } from "ava";
import {
  END_KIND,
  storeVersion,
  SUBMISSION_STATE,
  workerId,
  type ItemKey,
  type RunningLine,
  type StoreRow,
  type SubmissionId,
} from "../../src/index.js";
import { BOUNDS, TEAM_CEILING } from "./siteFixtures.js";
import { submissionRowOf, OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";
const OTHER_ID = "00000000000000bb";
const UNKNOWN_ID = "00000000000000ff";

/** CPU capacity of a worker in these tests. */
const CAPACITY_CPU_MILLI = 4_000;

const FIRST_INCARNATION = { startWallMs: 100 };

const lineOf = (id: string, run: number): RunningLine => ({
  item: `${id}.0.0.0` as ItemKey,
  run,
  checkpoint: "",
  percent: 10,
  load: null,
});

const stoppedEnd = (id: string, run: number) => ({
  sequence: 1,
  item: `${id}.0.0.0` as ItemKey,
  run,
  kind: END_KIND.STOPPED,
  checkpoint: "",
});

/** Returns the stored rows of a submission that ended under a previous owner. */
const endedRows = (id: string, cpuMilli: number): { handIns: StoreRow[]; progress: StoreRow[] } => {
  const handIn = submissionRowOf(id, workOf([stepOf(1, cpuMilli, [])]));
  const version = storeVersion(1);
  const progress = {
    id: id as SubmissionId,
    state: SUBMISSION_STATE.CANCELLED,
    done: {},
    failures: {},
    endedWallMs: 0,
  };
  return {
    handIns: [{ type: "handIn", version, submission: handIn }],
    progress: [{ type: "progress", version, progress }],
  };
};

/** Returns a node with a worker whose first poll answer lists an orphaned run. */
const nodeWithOrphan = (
  rows: ConstructorParameters<typeof OwnerNode>[0] = {},
  id = UNKNOWN_ID,
): OwnerNode => {
  const node = new OwnerNode(rows);
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), { ...FIRST_INCARNATION, running: [lineOf(id, 7)] });
  return node;
};

const submitItem = (node: OwnerNode, id: string, cpuMilli: number): void => {
  node.submit(id, workOf([stepOf(1, cpuMilli, [])]));
  node.run(60);
};

/** Answers polls of the worker with empty lists until an order is sent or the time has passed. */
const answerEmptyPolls = (node: OwnerNode, forMs: number): void => {
  const untilMs = node.nowMs + forMs;
  while (node.nowMs < untilMs && node.starts.length === 0) {
    node.answerPoll(node.nextPollOf("w"), FIRST_INCARNATION);
    node.run(20);
  }
};

test("work starts beside an unknown orphaned run that may use the whole worker", (t) => {
  const node = nodeWithOrphan();
  t.is(node.stops.length, 1);
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  t.is(node.starts.length, 0);
});

test("work starts beside an orphaned run of a submission that ended under the previous owner", (t) => {
  const node = nodeWithOrphan(endedRows(OTHER_ID, 1_000), OTHER_ID);
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  t.is(node.starts.length, 0);
});

test("an orphaned run uses more capacity than its step needs", (t) => {
  const node = nodeWithOrphan(endedRows(OTHER_ID, 1_000), OTHER_ID);
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI - 1_000);
  t.is(node.starts.length, 1);
});

test("work starts beside an orphaned run of an item that is booked on another worker", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), FIRST_INCARNATION);
  submitItem(node, OTHER_ID, CAPACITY_CPU_MILLI);
  const [start] = node.starts;
  t.is(start?.worker, workerId("w"));
  node.register(reportOf("x", 100, "10.0.0.2:1"));
  node.answerPoll(node.lastPollOf("x"), { ...FIRST_INCARNATION, running: [lineOf(OTHER_ID, 7)] });
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  t.is(node.starts.length, 1);
});

test("an orphaned run that is being stopped is removed at the next poll while it uses capacity", (t) => {
  const node = nodeWithOrphan();
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  const submittedAtMs = node.nowMs;
  answerEmptyPolls(node, BOUNDS.stopMs);
  t.is(node.starts.length, 0);
  answerEmptyPolls(node, 3_000);
  node.run(60);
  t.is(node.starts.length, 1);
  t.true(node.nowMs - submittedAtMs > BOUNDS.stopMs);
});

test("a worker waits for an orphaned run after the run's end is listed", (t) => {
  const node = nodeWithOrphan();
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  node.answerPoll(node.nextPollOf("w"), {
    ...FIRST_INCARNATION,
    ends: [stoppedEnd(UNKNOWN_ID, 7)],
  });
  node.run(60);
  t.is(node.starts.length, 1);
});

test("the next owner doesn't learn of the item of an orphaned run", (t) => {
  const node = nodeWithOrphan();
  node.run(400);
  const recordedItems = node.writtenLeases("w").map(({ items }) => items);
  t.deepEqual(recordedItems.at(-1), { [`${UNKNOWN_ID}.0.0`]: [0] });
});

/** Returns a node with a worker that runs a small item, and a long poll in flight. */
const nodeWithLongPoll = (t: ExecutionContext): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), FIRST_INCARNATION);
  submitItem(node, OTHER_ID, 1_000);
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("the node sent no start order; check that the worker has capacity");
  }
  node.answerStart(start, "started");
  node.answerPoll(node.nextPollOf("w"), {
    ...FIRST_INCARNATION,
    running: [lineOf(OTHER_ID, start.run)],
  });
  t.true(node.nextPollOf("w").waitMs > 0);
  return node;
};

test("an item is ordered on a worker that a poll has shown to be full since its placement", (t) => {
  const node = nodeWithLongPoll(t);
  const poll = node.nextPollOf("w");
  node.submit(SUBMISSION_ID, workOf([stepOf(1, 3_000, [])]));
  const running = [lineOf(OTHER_ID, node.starts[0]?.run ?? 0), lineOf(UNKNOWN_ID, 7)];
  node.answerPoll(poll, { ...FIRST_INCARNATION, running });
  node.run(200);
  t.is(node.starts.length, 1);
});

test("a stop whose answer is lost frees capacity at the poll after a long one", (t) => {
  const node = nodeWithLongPoll(t);
  const poll = node.nextPollOf("w");
  const sentAtMs = node.nowMs;
  node.run(880);
  node.cancel(OTHER_ID);
  t.is(node.stops.length, 1);
  node.run(60);
  const stoppedAtMs = node.nowMs;
  node.answerPoll(poll, { ...FIRST_INCARNATION, sentAtMs });
  node.submit(SUBMISSION_ID, workOf([stepOf(1, CAPACITY_CPU_MILLI, [])]));
  while (node.starts.length === 1 && node.nowMs - stoppedAtMs < 4_000) {
    node.answerPoll(node.nextPollOf("w"), FIRST_INCARNATION);
    node.run(20);
  }
  t.is(node.starts.length, 2);
  t.true(node.nowMs - stoppedAtMs >= BOUNDS.stopMs, `${node.nowMs - stoppedAtMs} ms`);
});

test("a stop is sent after the last row that could record it for the next owner", (t) => {
  const node = nodeWithLongPoll(t);
  const poll = node.nextPollOf("w");
  node.handle({ type: "node/shutdownRequested" });
  node.answerPoll(poll, { ...FIRST_INCARNATION, running: [lineOf(UNKNOWN_ID, 7)] });
  node.run(200);
  t.is(node.stops.length, 0);
});

test("a worker that restarted with another capacity is used with its previous one", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 200 });
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 200 });
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  t.is(node.starts.length, 0);
  const capacity = { cpuMilli: 2_000, memoryMb: 10_000, gpus: 0 };
  node.register({ ...reportOf("w", 200), capacity });
  node.run(60);
  t.is(node.starts.length, 0);
  submitItem(node, OTHER_ID, 2_000);
  t.is(node.starts.length, 1);
});

/** Leaves the team less than a whole worker's capacity below its ceiling. */
const WITHHELD_CPU_MILLI = TEAM_CEILING.cpuMilli - CAPACITY_CPU_MILLI + 1_000;

test("a team exceeds its ceiling beside ended work that an unfenced worker may run", (t) => {
  const version = storeVersion(1);
  const lease = {
    pool: poolId("mills"),
    items: { [`${OTHER_ID}.0.0`]: [0] },
    stopping: true,
    leaseTermMs: 4_000,
  };
  const node = new OwnerNode({
    ...endedRows(OTHER_ID, WITHHELD_CPU_MILLI),
    leases: [{ type: "lease", version, worker: workerId("x"), lease }],
  });
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), FIRST_INCARNATION);
  submitItem(node, SUBMISSION_ID, CAPACITY_CPU_MILLI);
  t.is(node.starts.length, 0);
  node.run(5_000);
  t.is(node.starts.length, 1);
});
