import test from "ava";
import {
  END_KIND,
  storeVersion,
  type EndLine,
  type Progress,
  type StoreRow,
  type SubmissionId,
  type WorkSpec,
} from "../../src/index.js";
import { OwnerNode, reportOf, submissionRowOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN = { startWallMs: 100 };
const ID = "00000000000000aa";
const OTHER_ID = "00000000000000bb";
const version = storeVersion(1);

const TINY = { ...stepOf(1, 10, []), needs: { cpuMilli: 10, memoryMb: 1, gpus: 0 } };

const recurring = (occurrences: number, items: number): WorkSpec => ({
  ...workOf([{ ...TINY, count: items }]),
  occurrences,
  firstDueWallMs: 0,
  intervalMs: 1,
});

/** How the worker ends a run. */
type EndOf = (item: string, run: number) => EndLine["kind"];

const done: EndOf = () => END_KIND.DONE;

/** A worker that ends each run with the next poll. */
class PromptWorker {
  private readonly ends: EndLine[] = [];
  private started = 0;

  constructor(
    private readonly node: OwnerNode,
    private readonly endOf: EndOf = done,
  ) {
    const capacity = { cpuMilli: 8_000, memoryMb: 100_000, gpus: 0 };
    node.register({ ...reportOf("w", 100), capacity });
  }

  serve(forMs: number): void {
    const untilMs = this.node.nowMs + forMs;
    while (this.node.nowMs < untilMs) {
      for (const start of this.node.starts.slice(this.started)) {
        this.node.answerStart(start, "started");
        const { item, run } = start;
        const kind = this.endOf(item, run);
        this.ends.push({ sequence: this.ends.length + 1, item, run, kind, checkpoint: "" });
      }
      this.started = this.node.starts.length;
      for (const poll of this.node.openPolls()) {
        const listed = this.ends.slice(poll.acknowledgedSequence).slice(0, 500);
        this.node.answerPoll(poll, { ...BORN, ends: listed });
      }
      this.node.run(40);
    }
  }
}

const lastProgress = (node: OwnerNode, id = ID): Progress | undefined =>
  node.writtenRows
    .flatMap((row) => (row.type === "progress" && row.progress.id === id ? [row.progress] : []))
    .at(-1);

const handIn = (work: WorkSpec): StoreRow => ({
  type: "handIn",
  version,
  submission: submissionRowOf(ID, work),
});

const startsOf = (node: OwnerNode, id: string): number =>
  node.starts.filter(({ item }) => item.startsWith(id)).length;

// Guards against LOST: the progress of a long submission outgrows the largest row that the store
// takes, and the commit that holds it and the rows of all others is repeated for ever.
for (const { what, work } of [
  { what: "7,000 occurrences", work: recurring(7_000, 1) },
  { what: "a step of 20,000 items", work: workOf([{ ...TINY, count: 20_000 }]) },
]) {
  test(`the progress of ${what} outgrows its row`, (t) => {
    const node = new OwnerNode();
    const worker = new PromptWorker(node);
    node.submit(ID, work);
    worker.serve(20_000);
    node.submit(OTHER_ID, workOf([TINY]));
    worker.serve(1_000);
    t.deepEqual(node.rejections, []);
    t.true(startsOf(node, ID) > 6_000);
    t.is(lastProgress(node, OTHER_ID)?.state, "completed");
  });
}

test("an item that never ends lets the progress of the others outgrow the row", (t) => {
  const node = new OwnerNode();
  const stuck = `${ID}.0.0.0`;
  const worker = new PromptWorker(node, (item) =>
    item === stuck ? END_KIND.STOPPED : END_KIND.DONE,
  );
  node.submit(ID, recurring(9_000, 1));
  worker.serve(20_000);
  t.deepEqual(node.rejections, []);
  t.true(startsOf(node, ID) > 4_000);
});

test("the failures of a large step outgrow its row", (t) => {
  const node = new OwnerNode();
  const failed = new Set<string>();
  const worker = new PromptWorker(node, (item) => {
    const failsFirst = !failed.has(item);
    failed.add(item);
    return failsFirst ? END_KIND.FAILED : END_KIND.DONE;
  });
  node.submit(ID, workOf([{ ...TINY, count: 4_000 }]));
  worker.serve(60_000);
  t.deepEqual(node.rejections, []);
  t.is(lastProgress(node)?.state, "completed");
});

test("a successor repeats what a window records as done, or leaves out the rest", (t) => {
  const work = workOf([
    { ...TINY, count: 1_000 },
    { ...TINY, count: 2, after: [0] },
  ]);
  const window = { firstOpen: 990, done: "2" };
  const progress: Progress = {
    id: ID as SubmissionId,
    state: "running",
    done: {},
    failures: { "0.0.990": [1, 2] },
    endedWallMs: null,
    window,
  };
  const node = new OwnerNode({
    handIns: [handIn(work)],
    progress: [{ type: "progress", version, progress }],
  });
  const worker = new PromptWorker(node);
  worker.serve(3_000);
  const started = node.starts.map(({ item }) => item.slice(ID.length + 1));
  t.deepEqual(
    new Set(started),
    new Set([
      "0.0.990",
      ...[992, 993, 994, 995, 996, 997, 998, 999].map((i) => `0.0.${i}`),
      "0.1.0",
      "0.1.1",
    ]),
  );
  t.is(lastProgress(node)?.state, "completed");
});

test("progress that an earlier version listed is not read, or runs again", (t) => {
  const progress: Progress = {
    id: ID as SubmissionId,
    state: "running",
    done: { "0.0": [0, 1], "1.0": [1], "2.0": [0, 1] },
    failures: { "1.0.0": [1] },
    endedWallMs: null,
  };
  const node = new OwnerNode({
    handIns: [handIn(recurring(4, 2))],
    progress: [{ type: "progress", version, progress }],
  });
  const worker = new PromptWorker(node);
  worker.serve(3_000);
  const started = node.starts.map(({ item }) => item.slice(ID.length + 1)).sort();
  t.deepEqual(started, ["1.0.0", "3.0.0", "3.0.1"]);
  t.is(lastProgress(node)?.state, "completed");
});

test("an earlier version cannot read the progress of a short submission", (t) => {
  const node = new OwnerNode();
  const worker = new PromptWorker(node, (item) =>
    item.includes(".0.1.") ? END_KIND.STOPPED : END_KIND.DONE,
  );
  node.submit(
    ID,
    workOf([
      { ...TINY, count: 300 },
      { ...TINY, after: [0] },
    ]),
  );
  worker.serve(3_000);
  const progress = lastProgress(node);
  t.is(progress?.window, undefined);
  t.is(progress?.done["0.0"]?.length, 300);
});

test("an earlier version may own what a window records, and runs it again", (t) => {
  const node = new OwnerNode();
  const worker = new PromptWorker(node);
  node.submit(ID, workOf([{ ...TINY, count: 4_000 }]));
  while (startsOf(node, ID) < 1_500) {
    worker.serve(100);
  }
  t.not(lastProgress(node)?.window, undefined);
  const owners = node.writtenRows.flatMap((row) => (row.type === "owner" ? [row.owner] : []));
  t.true(owners.at(-1)?.storesWindows);
});

test("a million occurrences that are due, or half a million items, fill the memory", (t) => {
  const node = new OwnerNode();
  const worker = new PromptWorker(node);
  for (let number = 0; number < 40; number += 1) {
    const id = `c${number.toString(16).padStart(15, "0")}`;
    node.submit(
      id,
      number % 2 === 0 ? recurring(1_000_000, 1) : workOf([{ ...TINY, count: 500_000 }]),
    );
  }
  node.submit(OTHER_ID, workOf([TINY]));
  worker.serve(3_000);
  t.true((node.state.work?.owned?.openItemCount ?? Infinity) < 65_000);
  t.deepEqual(node.rejections, []);
  t.is(lastProgress(node, OTHER_ID)?.state, "completed");
});
