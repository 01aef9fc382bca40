import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

test("an owner that failed to handle an event continues with inconsistent state", (t) => {
  const site = new WorkSite(5, 2, 3);
  site.run(2_000);
  site.runDurationMs = 5_000;
  site.submit(ID, "mills", workOf([stepOf(2, 500, [])]), 0);
  site.run(300);
  const owner = site.nodes.findIndex(({ state }) => state.work?.owned != null);
  site.failEvent(owner);
  t.true(site.nodes.every(({ state }) => state.work?.owned == null));
  site.run(3_000);
  t.truthy(site.nodes[1 - owner]?.state.work?.owned);
  site.run(6_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.starts, 2);
});
