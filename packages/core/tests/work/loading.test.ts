import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

const ownerOf = (site: WorkSite): number =>
  site.nodes.findIndex(({ state }) => state.work?.owned != null);

const scansOf = (site: WorkSite, scan: string): number =>
  site.effects.filter((effect) => effect.type === "store/scan" && effect.scan === scan).length;

test("a store that turns a new owner's reads away is asked again without a pause", (t) => {
  const site = new WorkSite(5, 1, 2);
  while (ownerOf(site) < 0) {
    site.run(1);
  }
  const before = scansOf(site, "handIns");
  site.storeDownUntilMs = site.nowMs + 3_000;
  site.run(3_000);
  t.true(scansOf(site, "handIns") - before <= 3_000 / 200);
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(3_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.accepted.size, 1);
});
