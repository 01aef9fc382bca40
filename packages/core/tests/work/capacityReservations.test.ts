import test from "ava";
import type { RunningLine } from "../../src/index.js";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const LONG_RUNNING = "00000000000000aa";
const SHORT = ["0000000000000001", "0000000000000002"];
const BORN = { startWallMs: 100 };
const WORKERS = ["w0", "w1"];

/** Time within which a start is planned, recorded and sent. */
const ORDER_MS = 80;

const runningLine = ({ item, run }: StartEffect): RunningLine => ({
  item,
  run,
  checkpoint: "",
  percent: 100,
  load: null,
});

/** Returns a node with two workers that short work fills, and the start orders of that work. */
const fullNode = (): { node: OwnerNode; starts: readonly StartEffect[] } => {
  const node = new OwnerNode();
  WORKERS.forEach((id, index) => {
    node.register(reportOf(id, 100, `10.0.0.${index + 1}:1`));
    node.answerPoll(node.lastPollOf(id), BORN);
  });
  for (const id of SHORT) {
    node.submit(id, workOf([stepOf(1, 4_000, [])]));
  }
  node.run(ORDER_MS);
  const starts = [...node.starts];
  starts.forEach((start) => {
    node.answerStart(start, "started");
  });
  return { node, starts };
};

const startedLongRunning = (node: OwnerNode): readonly string[] =>
  node.starts.map(({ item }) => item).filter((item) => item.startsWith(LONG_RUNNING));

/** Reports the run of a start order as done. */
const endRun = (node: OwnerNode, { worker, item, run }: StartEffect): void => {
  const ends = [{ sequence: 1, item, run, kind: "done", checkpoint: "" } as const];
  node.answerPoll(node.nextPollOf(worker), { ...BORN, ends });
  node.run(ORDER_MS);
};

const reservedWorker = (node: OwnerNode): unknown =>
  node.logged("capacity.reserved").at(-1)?.fields.worker;

test("long-running work waits for its reserved capacity while another worker is free", (t) => {
  const { node, starts } = fullNode();
  t.is(starts.length, 2);
  node.submit(LONG_RUNNING, workOf([{ ...stepOf(1, 1_000, []), lasting: true }]));
  node.run(ORDER_MS);
  const other = starts.find(({ worker }) => worker !== reservedWorker(node));
  t.truthy(other);
  if (other !== undefined) {
    endRun(node, other);
  }
  t.is(startedLongRunning(node).length, 1);
});

test("items of a long-running step wait until one of them has its reserved capacity", (t) => {
  const { node, starts } = fullNode();
  node.submit(LONG_RUNNING, workOf([{ ...stepOf(3, 1_000, []), lasting: true }]));
  node.run(ORDER_MS);
  const other = starts.find(({ worker }) => worker !== reservedWorker(node));
  t.truthy(other);
  if (other !== undefined) {
    endRun(node, other);
  }
  t.is(startedLongRunning(node).length, 3);
});

/** Returns a node with two workers, each filled by eight short items, and the runs of these. */
const nodeWithShortItems = (): { node: OwnerNode; running: Map<string, StartEffect> } => {
  const node = new OwnerNode();
  WORKERS.forEach((id, index) => {
    node.register(reportOf(id, 100, `10.0.0.${index + 1}:1`));
    node.answerPoll(node.lastPollOf(id), BORN);
  });
  node.submit(SHORT[0] ?? "", workOf([stepOf(16, 500, [])]));
  node.run(ORDER_MS);
  const running = new Map(node.starts.map((start) => [start.item as string, start]));
  running.forEach((start) => {
    node.answerStart(start, "started");
  });
  return { node, running };
};

/** Reports the oldest short run of a worker as done, and confirms the starts that follow. */
const endOldest = (
  node: OwnerNode,
  running: Map<string, StartEffect>,
  worker: string,
  sequence: number,
): void => {
  const onWorker = [...running.values()].filter((start) => start.worker === worker);
  const ended = onWorker.find(({ item }) => !item.startsWith(LONG_RUNNING));
  if (ended === undefined) {
    throw new Error(`no short work runs on ${worker}; submit more short items`);
  }
  const { item, run } = ended;
  running.delete(item);
  node.answerPoll(node.nextPollOf(worker), {
    ...BORN,
    running: onWorker.filter((start) => start !== ended).map(runningLine),
    ends: [{ sequence, item, run, kind: "done", checkpoint: "" }],
  });
  const startsBefore = node.starts.length;
  node.run(ORDER_MS);
  for (const start of node.starts.slice(startsBefore)) {
    running.set(start.item, start);
    node.answerStart(start, "started");
  }
};

test("short work takes the capacity that a long-running step needs for more than one item", (t) => {
  const { node, running } = nodeWithShortItems();
  t.is(running.size, 16);
  node.submit(LONG_RUNNING, workOf([{ ...stepOf(2, 1_000, []), lasting: true }]));
  for (let number = 2; number < 6; number += 1) {
    node.submit(number.toString(16).padStart(16, "0"), workOf([stepOf(8, 500, [])]));
  }
  node.run(ORDER_MS);
  for (const sequence of [1, 2]) {
    for (const worker of WORKERS) {
      endOldest(node, running, worker, sequence);
    }
  }
  t.is(startedLongRunning(node).length, 2);
});
