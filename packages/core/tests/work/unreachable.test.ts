import test from "ava";
import type { Effect } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

const startsOf = (site: WorkSite): Extract<Effect, { type: "worker/start" }>[] =>
  site.effects.filter((effect) => effect.type === "worker/start");

test("an item is ordered again on the worker that fell silent with it", (t) => {
  const site = new WorkSite(5, 1, 3);
  site.workMs = 1_500;
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(1_000);
  const [first] = startsOf(site);
  const silent = first?.worker ?? "";
  t.truthy(site.workers.get(silent));
  site.cutWorkers.set(silent, site.nowMs + 30_000);
  site.run(12_000);
  const again = startsOf(site).slice(1);
  t.is(again.length, 1);
  t.not(again[0]?.worker, first?.worker);
  t.deepEqual(site.unfinished(), []);
});
