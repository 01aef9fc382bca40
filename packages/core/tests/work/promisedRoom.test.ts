import test from "ava";
import type { RunningLine } from "../../src/index.js";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const LASTING = "00000000000000aa";
const SHORT = ["0000000000000001", "0000000000000002"];
const BORN = { bornWallMs: 100 };
const WORKERS = ["w0", "w1"];

/** Work is planned, written and ordered within this time. */
const ORDER_MS = 80;

const lineOf = ({ item, run }: StartEffect): RunningLine => ({
  item,
  run,
  checkpoint: "",
  percent: 100,
  load: null,
});

/** Two workers that short work fills. */
const fullNode = (): { node: OwnerNode; starts: readonly StartEffect[] } => {
  const node = new OwnerNode();
  WORKERS.forEach((id, index) => {
    node.list(reportOf(id, 100, `10.0.0.${index + 1}:1`));
    node.answerLook(node.lookAt(id), BORN);
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

const startedLasting = (node: OwnerNode): readonly string[] =>
  node.starts.map(({ item }) => item).filter((item) => item.startsWith(LASTING));

/** Ends the run of a start on its worker. */
const endRun = (node: OwnerNode, { worker, item, run }: StartEffect): void => {
  const ends = [{ sequence: 1, item, run, kind: "done", checkpoint: "" } as const];
  node.answerLook(node.nextLookAt(worker), { ...BORN, ends });
  node.run(ORDER_MS);
};

const promisedWorker = (node: OwnerNode): unknown =>
  node.logged("capacity.reserved").at(-1)?.fields.worker;

test("work that lasts waits for the room that is kept for it while another worker is free", (t) => {
  const { node, starts } = fullNode();
  t.is(starts.length, 2);
  node.submit(LASTING, workOf([{ ...stepOf(1, 1_000, []), lasting: true }]));
  node.run(ORDER_MS);
  const other = starts.find(({ worker }) => worker !== promisedWorker(node));
  t.truthy(other);
  if (other !== undefined) {
    endRun(node, other);
  }
  t.is(startedLasting(node).length, 1);
});

test("items of a step that lasts wait until one of them has the room that is kept for it", (t) => {
  const { node, starts } = fullNode();
  node.submit(LASTING, workOf([{ ...stepOf(3, 1_000, []), lasting: true }]));
  node.run(ORDER_MS);
  const other = starts.find(({ worker }) => worker !== promisedWorker(node));
  t.truthy(other);
  if (other !== undefined) {
    endRun(node, other);
  }
  t.is(startedLasting(node).length, 3);
});

/** Workers that eight short items each fill, and more of them that wait. */
const crowdedNode = (): { node: OwnerNode; running: Map<string, StartEffect> } => {
  const node = new OwnerNode();
  WORKERS.forEach((id, index) => {
    node.list(reportOf(id, 100, `10.0.0.${index + 1}:1`));
    node.answerLook(node.lookAt(id), BORN);
  });
  node.submit(SHORT[0] ?? "", workOf([stepOf(16, 500, [])]));
  node.run(ORDER_MS);
  const running = new Map(node.starts.map((start) => [start.item as string, start]));
  running.forEach((start) => {
    node.answerStart(start, "started");
  });
  return { node, running };
};

/** Ends the oldest short run of a worker, and confirms what is started then. */
const endOldest = (
  node: OwnerNode,
  running: Map<string, StartEffect>,
  worker: string,
  sequence: number,
): void => {
  const here = [...running.values()].filter((start) => start.worker === worker);
  const ended = here.find(({ item }) => !item.startsWith(LASTING));
  if (ended === undefined) {
    throw new Error(`no short work runs on ${worker}`);
  }
  const { item, run } = ended;
  running.delete(item);
  node.answerLook(node.nextLookAt(worker), {
    ...BORN,
    running: here.filter((start) => start !== ended).map(lineOf),
    ends: [{ sequence, item, run, kind: "done", checkpoint: "" }],
  });
  const seen = node.starts.length;
  node.run(ORDER_MS);
  for (const start of node.starts.slice(seen)) {
    running.set(start.item, start);
    node.answerStart(start, "started");
  }
};

test("short work takes the room that a step which lasts needs for more than one item", (t) => {
  const { node, running } = crowdedNode();
  t.is(running.size, 16);
  node.submit(LASTING, workOf([{ ...stepOf(2, 1_000, []), lasting: true }]));
  for (let number = 2; number < 6; number += 1) {
    node.submit(number.toString(16).padStart(16, "0"), workOf([stepOf(8, 500, [])]));
  }
  node.run(ORDER_MS);
  for (const sequence of [1, 2]) {
    for (const worker of WORKERS) {
      endOldest(node, running, worker, sequence);
    }
  }
  t.is(startedLasting(node).length, 2);
});
