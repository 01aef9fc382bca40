import test from "ava";
import { END_KIND, type EndLine, type RunningLine } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN = { startWallMs: 100 };
const GOOD = "00000000000000bb";

const idOf = (number: number): string => `a${number.toString(16).padStart(15, "0")}`;

/** How a run ends; null for one that goes on. */
type EndOf = (item: string, worker: string, run: number) => EndLine["kind"] | null;

/** Workers whose runs end with the next poll, or go on. */
class PromptWorkers {
  private readonly ends = new Map<string, EndLine[]>();
  private readonly running = new Map<string, RunningLine[]>();
  private started = 0;

  constructor(
    private readonly node: OwnerNode,
    private readonly endOf: EndOf,
  ) {}

  serve(forMs: number): void {
    const { node } = this;
    const untilMs = node.nowMs + forMs;
    while (node.nowMs < untilMs) {
      for (const { item, run, worker } of node.starts.slice(this.started)) {
        const list = this.endsOn(worker);
        const kind = this.endOf(item, worker, run);
        if (kind === null) {
          const line = { item, run, checkpoint: "", percent: 100, load: null };
          this.running.set(worker, [...(this.running.get(worker) ?? []), line]);
        } else {
          list.push({ sequence: list.length + 1, item, run, kind, checkpoint: "" });
        }
      }
      node.starts.slice(this.started).forEach((start) => {
        node.answerStart(start, "started");
      });
      this.started = node.starts.length;
      for (const poll of node.openPolls()) {
        const listed = this.endsOn(poll.worker).slice(poll.acknowledgedSequence);
        const running = this.running.get(poll.worker) ?? [];
        node.answerPoll(poll, { ...BORN, ends: listed, running });
      }
      node.run(40);
    }
  }

  private endsOn(worker: string): EndLine[] {
    const list = this.ends.get(worker) ?? [];
    this.ends.set(worker, list);
    return list;
  }
}

const nodeWith = (workers: readonly string[]): OwnerNode => {
  const node = new OwnerNode();
  workers.forEach((worker, index) => {
    node.register(reportOf(worker, 100, `10.0.0.${index + 1}:1`));
    node.answerPoll(node.nextPollOf(worker), BORN);
  });
  return node;
};

// Guards against LOST: items that fail by their own fault have all workers of a pool suspended, and
// nothing that fits starts while they are.
for (const { workers, items } of [
  { workers: ["w1"], items: 4 },
  { workers: ["w1", "w2"], items: 1 },
  { workers: ["w1", "w2", "w3"], items: 3 },
]) {
  test(`poison of ${items} items suspends all of ${workers.length} workers`, (t) => {
    const node = nodeWith(workers);
    for (let number = 0; number < 40; number += 1) {
      node.submit(idOf(number), workOf([stepOf(items, 900, [])]));
    }
    const endOf: EndOf = (item) => (item.startsWith("a") ? END_KIND.FAILED : END_KIND.DONE);
    const served = new PromptWorkers(node, endOf);
    served.serve(400);
    node.submit(GOOD, workOf([stepOf(1, 100, [])]));
    served.serve(2_500);
    t.true(node.starts.some(({ item }) => item.startsWith(GOOD)));
  });
}

for (const { what, submissions, items } of [
  { what: "many submissions", submissions: 60, items: 1 },
  { what: "one submission", submissions: 1, items: 60 },
]) {
  test(`a worker on which the items of ${what} fail gets ever more of them`, (t) => {
    const workers = ["sick", "w2", "w3"];
    const node = nodeWith(workers);
    for (let number = 0; number < submissions; number += 1) {
      node.submit(idOf(number), workOf([stepOf(items, 900, [])]));
    }
    const endOf: EndOf = (_, worker) => (worker === "sick" ? END_KIND.FAILED : END_KIND.DONE);
    new PromptWorkers(node, endOf).serve(3_000);
    const [first] = node.logged("worker.suspended");
    t.is(first?.fields.worker, "sick");
    t.true(node.logged("worker.suspended").every(({ fields }) => fields.worker === "sick"));
    t.true(node.starts.filter(({ worker }) => worker === "sick").length < 20);
  });
}

// Guards against LOST: on workers that run long-running work only, failures count for ever.
test("a failure of long-running work suspends a worker because of failures long ago", (t) => {
  const node = nodeWith(["w1", "w2"]);
  const workers = new PromptWorkers(node, (_, __, run) => (run === 1 ? END_KIND.FAILED : null));
  for (let number = 0; number < 4; number += 1) {
    node.submit(idOf(number), workOf([{ ...stepOf(1, 500, []), lasting: true }]));
    workers.serve(12_000);
  }
  t.is(node.starts.length, 8);
  t.deepEqual(node.logged("worker.suspended"), []);
});
