import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

const ownerOf = (site: WorkSite): number =>
  site.nodes.findIndex(({ state }) => state.work?.owned != null);

const scansOf = (site: WorkSite, scan: string): number =>
  site.effects.filter((effect) => effect.type === "store/scan" && effect.scan === scan).length;

test("a new owner retries rejected table reads without a pause", (t) => {
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

const untilOwner = (site: WorkSite, node: number): void => {
  while (site.nodes[node]?.state.work?.owned == null) {
    site.run(1);
  }
};

test("a scan that a node requested under an earlier ownership is used by its next one", (t) => {
  const site = new WorkSite(5, 2, 2);
  site.runDurationMs = 300;
  site.run(2_000);
  const first = ownerOf(site);
  const other = 1 - first;
  // The other node requests its progress scan before the item runs, and loses ownership before the
  // answer arrives.
  site.scanAnswerMs = { progress: 12_000 };
  site.stopGracefully(first);
  untilOwner(site, other);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), other);
  site.run(20);
  const isolated = site.nodes[other];
  t.truthy(isolated);
  if (isolated !== undefined) {
    isolated.refusedUntilMs = site.nowMs + 8_000;
  }
  site.run(100);
  site.scanAnswerMs = {};
  untilOwner(site, first);
  site.run(4_000);
  t.deepEqual(site.unfinished(), []);
  site.scanAnswerMs = { progress: 5_000 };
  site.stopGracefully(first);
  untilOwner(site, other);
  site.run(8_000);
  t.is(site.starts, 1);
});
