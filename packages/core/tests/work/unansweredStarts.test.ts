import test from "ava";
import type { Effect } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const SUBMISSION_ID = "00000000000000aa";

const siteWithLostStarts = (lostStarts: number, areLate: boolean): WorkSite => {
  const site = new WorkSite(5, 1, 3);
  site.runDurationMs = 200;
  site.run(2_000);
  site.startsToLose = lostStarts;
  site.lostStartsAreLate = areLate;
  site.submit(SUBMISSION_ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  return site;
};

const stopsOf = (site: WorkSite): Effect[] =>
  site.effects.filter((effect) => effect.type === "worker/stop");

test("an item whose order is carried out late waits for more than a resent order", (t) => {
  const site = siteWithLostStarts(1, true);
  site.run(1_150);
  t.deepEqual(site.unfinished(), []);
  t.deepEqual(stopsOf(site), []);
  site.run(10_000);
  t.is(site.starts, 1);
});

test("an item that ran although the answer was lost is started again", (t) => {
  const site = siteWithLostStarts(1, false);
  site.run(5_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.starts, 1);
});

test("a worker that answers no order keeps an item forever", (t) => {
  const site = siteWithLostStarts(3, true);
  site.run(6_000);
  t.deepEqual(site.unfinished(), []);
  t.is(stopsOf(site).length, 1);
});
