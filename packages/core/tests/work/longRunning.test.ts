import test from "ava";
import { storeVersion, type Effect } from "../../src/index.js";
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
