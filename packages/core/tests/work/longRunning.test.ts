import { poolId } from "@heatherferry/common";
import test from "ava";
import { END_KIND, storeVersion, workerId, type Effect, type ItemKey } from "../../src/index.js";
import { OwnerNode, reportOf, submissionRowOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

const startsOf = (site: WorkSite): Extract<Effect, { type: "worker/start" }>[] =>
  site.effects.filter((effect) => effect.type === "worker/start");

const drain = (site: WorkSite, id: string): void => {
  const worker = site.workers.get(id);
  if (worker !== undefined) {
    const report = { ...worker.report, draining: true };
    site.store.put(`worker ${id}`, { type: "worker", version: storeVersion(0), report });
  }
};

test("long-running work stays on a draining worker", (t) => {
  const site = new WorkSite(5);
  site.runDurationMs = 60_000;
  site.run(2_000);
  site.submit(ID, "mills", workOf([{ ...stepOf(1, 500, []), lasting: true }]), 0);
  site.run(1_000);
  const [first] = startsOf(site);
  t.truthy(first);
  drain(site, first?.worker ?? "");
  site.run(3_000);
  const [, second, ...more] = startsOf(site);
  t.truthy(second);
  t.not(second?.worker, first?.worker);
  t.deepEqual(more, []);
});

// Guards against LOST: long-running work is taken for done once a run of it has ended as done.
for (const gang of [false, true]) {
  const work = gang ? "a long-running gang" : "long-running work";
  test(`${work} that ends as done is not started again`, (t) => {
    const site = new WorkSite(5);
    site.runDurationMs = 600;
    site.run(2_000);
    site.submit(ID, "mills", workOf([{ ...stepOf(2, 500, []), lasting: true, gang }]), 0);
    site.run(8_000);
    for (const item of [0, 1].map((index) => `${ID}.0.0.${index}`)) {
      t.true(startsOf(site).filter((start) => start.item === item).length > 3);
    }
    t.deepEqual(site.unfinished(), [ID]);
  });
}

test("a new owner takes long-running work for done whose end the owner before did not hear", (t) => {
  const item = `${ID}.0.0.0` as ItemKey;
  const pool = poolId("mills");
  const submission = submissionRowOf(ID, workOf([{ ...stepOf(1, 500, []), lasting: true }]));
  const lease = { pool, items: { [`${ID}.0.0`]: [0] }, stopping: false, startWallMs: 100 };
  const node = new OwnerNode({
    handIns: [{ type: "handIn", version: storeVersion(1), submission }],
    leases: [{ type: "lease", version: storeVersion(1), worker: workerId("w"), lease }],
  });
  node.register(reportOf("w", 100));
  const end = { sequence: 1, item, run: 1, kind: END_KIND.DONE, checkpoint: "" };
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 100, ends: [end] });
  node.run(200);
  t.deepEqual(
    node.starts.map((start) => start.item),
    [item],
  );
});

test("the run of long-running work is stopped since an earlier run of it has ended as done", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 100 });
  node.submit(ID, workOf([{ ...stepOf(1, 500, []), lasting: true }]));
  node.run(60);
  const [start] = node.starts;
  if (start === undefined) {
    throw new Error("the node sent no start order; check that the worker has capacity");
  }
  node.answerStart(start, "started");
  const { item, run } = start;
  const line = { item, run, checkpoint: "", percent: 100, load: null };
  const end = { sequence: 1, item, run: run - 1, kind: END_KIND.DONE, checkpoint: "" };
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 100, running: [line], ends: [end] });
  node.run(200);
  t.deepEqual(node.stops, []);
  t.is(node.starts.length, 1);
});

test("long-running work that ends is not started again", (t) => {
  const site = new WorkSite(5);
  site.runDurationMs = 300;
  site.run(2_000);
  site.submit(ID, "mills", workOf([{ ...stepOf(1, 500, []), lasting: true }]), 0);
  site.failingRunPercent = 100;
  site.run(6_000);
  t.true(startsOf(site).length > 3);
  t.deepEqual(site.unfinished(), [ID]);
});
