import { LOG_CLASS } from "@heatherferry/common";
import test from "ava";
import type { Effect, Event, WorkerId } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

type Line = Extract<Effect, { type: "log/write" }>;

/** A site that can deliver events to its first node. */
class TestSite extends WorkSite {
  deliverEvent(event: Event): void {
    const [node] = this.nodes;
    if (node !== undefined) {
      this.handle(node, event);
    }
  }
}

const linesOf = (site: WorkSite, event: string): Line[] =>
  site.effects.filter(
    (effect): effect is Line => effect.type === "log/write" && effect.event === event,
  );

const idOf = (index: number): string => index.toString(16).padStart(16, "0");

/** @returns A site with one node and running items, and a worker that runs several of them. */
const siteWithRunningItems = (): { site: TestSite; worker: string } => {
  const site = new TestSite(5, 1, 3);
  site.runDurationMs = 60_000;
  site.run(2_000);
  const needs = { cpuMilli: 100, memoryMb: 1_000, gpus: 0 };
  site.submit(idOf(1), "mills", workOf([{ ...stepOf(8, 500, []), needs }]), 0);
  site.run(600);
  const busy = [...site.workers].find(([, { runs }]) => runs.size > 1);
  return { site, worker: busy?.[0] ?? "" };
};

test("one kept line gives the reason when all runs of a worker are abandoned", (t) => {
  const { site, worker } = siteWithRunningItems();
  const runs = site.workers.get(worker)?.runs.size ?? 0;
  t.true(runs > 1);
  site.unreachableWorkers.set(worker, site.nowMs + 30_000);
  site.run(8_000);
  const [line, ...others] = linesOf(site, "runs.abandoned");
  t.deepEqual(others, []);
  t.is(line?.lineClass, LOG_CLASS.KEPT);
  t.like(line?.fields, { worker, reason: "the lease expired", count: runs });
  t.true(Number(line?.fields.answerAgeMs) > 1_000);
  t.true(linesOf(site, "run.abandoned").every(({ lineClass }) => lineClass === LOG_CLASS.ROUTINE));
});

test("the line about the load of a new owner is a kept one", (t) => {
  const { site } = siteWithRunningItems();
  site.kill(0, 500);
  site.run(3_000);
  const loaded = linesOf(site, "owner.loaded");
  t.is(loaded.length, 2);
  t.true(loaded.every(({ lineClass }) => lineClass === LOG_CLASS.KEPT));
});

test("a kept line reports how many submissions did not fit into one write", (t) => {
  const site = new TestSite(5, 1, 3);
  site.runDurationMs = 60_000;
  site.run(2_000);
  for (let index = 1; index <= 200; index += 1) {
    site.submit(idOf(index), "mills", workOf([stepOf(1, 500, [])]), 0);
  }
  site.run(200);
  for (let index = 1; index <= 200; index += 1) {
    site.cancel(idOf(index), 0);
  }
  site.run(500);
  const [line] = linesOf(site, "owner.commitTruncated");
  t.is(line?.lineClass, LOG_CLASS.KEPT);
  t.true(Number(line?.fields.submissions) > 0);
});

test("a line reports a worker that lists a run of an item that runs elsewhere", (t) => {
  const { site, worker } = siteWithRunningItems();
  const owned = site.nodes[0]?.state.work?.owned;
  const [ownRun] = owned?.workers.get(worker as WorkerId)?.runs.values() ?? [];
  const other = [...(owned?.workers.keys() ?? [])].find((id) => id !== worker);
  t.truthy(ownRun);
  t.truthy(other);
  if (ownRun === undefined || other === undefined) {
    return;
  }
  const { item, number } = ownRun;
  const line = { item: item.key, run: number - 1, checkpoint: "", percent: 0, load: null };
  const otherWorker = owned?.workers.get(other);
  if (owned == null || otherWorker === undefined) {
    return;
  }
  otherWorker.pollOrder ??= 0;
  site.deliverEvent({
    type: "worker/looked",
    worker: other,
    address: otherWorker.report.address,
    startWallMs: otherWorker.report.startWallMs,
    fence: owned.fence,
    order: otherWorker.pollOrder,
    sentAtMs: 1_000 + site.nowMs,
    clockMs: 1,
    reportedStartWallMs: null,
    running: [line],
    ends: [],
    endsComplete: true,
    atMs: 0,
  });
  t.like(linesOf(site, "run.duplicate")[0]?.fields, {
    item: item.key,
    run: number - 1,
    worker: other,
    how: "running",
    otherRun: number,
    otherWorker: worker,
  });
});

test("late clock ticks are reported by one kept line a second", (t) => {
  const site = new TestSite(5, 1, 1);
  for (let tick = 0; tick < 30; tick += 1) {
    site.deliverEvent({ type: "clock/ticked", lateMs: 400, atMs: 0 });
    site.run(100);
  }
  const lines = linesOf(site, "loop.lagged");
  t.true(lines.length >= 2 && lines.length <= 4, `${lines.length} lines in 3 s`);
  t.true(lines.every(({ lineClass }) => lineClass === LOG_CLASS.KEPT));
});

test("a kept line shows the bookings of a worker that lists more than its capacity", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), { startWallMs: 100 });
  node.submit(idOf(1), workOf([stepOf(1, 4_000, [])]));
  node.run(60);
  const [start] = node.starts;
  t.truthy(start);
  if (start === undefined) {
    return;
  }
  t.like(node.logged("run.ordered")[0]?.fields, {
    usedCpuMilli: 4_000,
    cpuMilli: 4_000,
    listedRuns: 0,
  });
  node.answerStart(start, "started");
  const line = { item: start.item, run: start.run, checkpoint: "", percent: 0, load: null };
  const running = [line, { ...line, run: start.run - 1 }];
  node.answerPoll(node.nextPollOf("w"), { startWallMs: 100, running });
  const [overfull] = node.logged("worker.overcommitted");
  t.is(overfull?.lineClass, LOG_CLASS.KEPT);
  t.like(overfull?.fields, {
    listedCpuMilli: 8_000,
    usedCpuMilli: 8_000,
    runs: 1,
    orphanedRuns: 1,
  });
});
