import { hostId } from "@heatherferry/common";
import test from "ava";
import {
  END_KIND,
  storeVersion,
  type Commit,
  type EndLine,
  type RowToWrite,
  type StoreRow,
} from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const START_WALL_MS = 100;
const WAVES = 60;

const version = storeVersion(1);

/** Returns an operator's request for a wave of one host, and the report of its completion. */
const wave = (number: number): { request: StoreRow; report: StoreRow } => {
  const hosts = [hostId(`m-${number}`)];
  const request = { wave: number, hosts, durationMs: 60_000, maxHostsOut: 1 };
  return {
    request: { type: "wave", version, request },
    report: {
      type: "waveReport",
      version,
      wave: number,
      completed: true,
      seenWallMs: 0,
      doneHosts: hosts,
    },
  };
};

const waves = Array.from({ length: WAVES }, (_, number) => wave(number));

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

const submitItems = (node: OwnerNode, count: number): void => {
  for (let number = 0; number < count; number += 1) {
    node.submit(idOf(number), workOf([stepOf(1, 100, [])]));
  }
};

/** Registers a worker with room for all items, and starts and ends each item that it is ordered. */
const serveWorker = (node: OwnerNode, forMs: number): void => {
  const capacity = { cpuMilli: 100_000, memoryMb: 100_000, gpus: 0 };
  node.register({ ...reportOf("w", START_WALL_MS), capacity });
  const untilMs = node.nowMs + forMs;
  const ends: EndLine[] = [];
  while (node.nowMs < untilMs) {
    for (const start of node.starts.slice(ends.length)) {
      node.answerStart(start, "started");
      const { item, run } = start;
      ends.push({ sequence: ends.length + 1, item, run, kind: END_KIND.DONE, checkpoint: "" });
    }
    for (const poll of node.openPolls().filter(({ worker }) => worker === "w")) {
      const listed = ends.filter(({ sequence }) => sequence > poll.acknowledgedSequence);
      node.answerPoll(poll, { startWallMs: START_WALL_MS, ends: listed });
    }
    node.run(100);
  }
};

const completedIn = (node: OwnerNode): Set<string> =>
  new Set(
    node.writtenRows.flatMap((row) =>
      row.type === "progress" && row.progress.state === "completed" ? [row.progress.id] : [],
    ),
  );

// Guards against LOST: a new owner reports all waves of an installation's life in one transaction,
// which the store refuses, and repeats it for ever.
test("completed waves make a new owner's commit larger than the store accepts", (t) => {
  const node = new OwnerNode({
    operators: waves.map(({ request }) => request),
    progress: waves.map(({ report }) => report),
  });
  submitItems(node, 3);
  serveWorker(node, 2_000);
  t.deepEqual(node.rejections, []);
  t.is(completedIn(node).size, 3);
  t.false(node.writtenRows.some(({ type }) => type === "waveReport"));
});

test("many waves that begin at once make a commit larger than the store accepts", (t) => {
  const node = new OwnerNode({ operators: waves.map(({ request }) => request) });
  submitItems(node, 3);
  serveWorker(node, 2_000);
  t.deepEqual(node.rejections, []);
  t.is(completedIn(node).size, 3);
  const reported = node.writtenRows.filter(({ type }) => type === "waveReport");
  t.true(reported.length >= WAVES);
});

/** Has the store reject each commit that writes such a row. */
const rejectRows = (node: OwnerNode, isRejected: (row: RowToWrite) => boolean): void => {
  node.rejectionOf = ({ writes }: Commit) => (writes.some(isRejected) ? "status 400" : null);
};

test("a row that the store rejects for good keeps the rows of others from being stored", (t) => {
  const node = new OwnerNode();
  const rejected = idOf(7);
  rejectRows(
    node,
    (row) =>
      row.type === "progress" && row.progress.id === rejected && row.progress.state === "running",
  );
  submitItems(node, 7);
  const steps = [0, 1, 2, 3].map((step) => stepOf(1, 100, step === 0 ? [] : [step - 1]));
  node.submit(rejected, workOf(steps));
  submitItems(node, 20);
  serveWorker(node, 6_000);
  t.true(node.rejections.length > 0);
  t.true(node.rejections.length < 20);
  t.is(completedIn(node).size, 19);
  const states = node.writtenRows.flatMap((row) =>
    row.type === "progress" && row.progress.id === rejected ? [row.progress.state] : [],
  );
  t.deepEqual(new Set(states), new Set(["failed"]));
});

test("a worker whose lease row the store rejects keeps the rows of others from being stored", (t) => {
  const node = new OwnerNode();
  rejectRows(node, (row) => row.type === "lease" && row.worker === "bad");
  node.register(reportOf("bad", START_WALL_MS, "10.0.0.9:1"));
  node.answerPoll(node.nextPollOf("bad"), { startWallMs: START_WALL_MS });
  submitItems(node, 20);
  serveWorker(node, 8_000);
  t.is(completedIn(node).size, 20);
  t.true(node.rejections.length < 20);
  t.false(node.starts.some(({ worker }) => worker === "bad"));
});
