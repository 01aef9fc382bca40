import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

/** Wall-clock time of a simulated site at its start. */
const SITE_WALL_MS = 1e6;

const FIRST_DUE_MS = 5_000;
const INTERVAL_MS = 2_000;

test("occurrences start early or late, or overlap", (t) => {
  const site = new WorkSite(5);
  site.runDurationMs = 300;
  site.run(2_000);
  const work = {
    ...workOf([stepOf(2, 500, [])]),
    occurrences: 3,
    firstDueWallMs: SITE_WALL_MS + FIRST_DUE_MS,
    intervalMs: INTERVAL_MS,
  };
  site.submit(ID, "mills", work, 0);
  for (let number = 0; number < 3; number += 1) {
    site.run(FIRST_DUE_MS + number * INTERVAL_MS - site.nowMs - 50);
    t.is(site.starts, 2 * number);
    site.run(550);
    t.is(site.starts, 2 * number + 2);
  }
  site.run(1_000);
  t.deepEqual(site.unfinished(), []);
});

test("killing all nodes between two occurrences loses or repeats one", (t) => {
  const site = new WorkSite(5);
  site.runDurationMs = 300;
  site.run(2_000);
  const work = {
    ...workOf([stepOf(2, 500, [])]),
    occurrences: 2,
    firstDueWallMs: SITE_WALL_MS + FIRST_DUE_MS,
    intervalMs: 6_000,
  };
  site.submit(ID, "mills", work, 0);
  site.run(5_000);
  t.is(site.starts, 2);
  [0, 1, 2].forEach((node) => {
    site.kill(node, 900);
  });
  site.run(8_000);
  t.is(site.starts, 4);
  t.deepEqual(site.unfinished(), []);
});

test("an occurrence that ran early runs again under a new owner whose wall clock is behind", (t) => {
  const site = new WorkSite(5, 2);
  site.runDurationMs = 300;
  ["n0", "n1"].forEach((name) => site.wallClockLeadMs.set(name, 3_000));
  site.run(2_000);
  const work = {
    ...workOf([stepOf(2, 500, [])]),
    occurrences: 3,
    firstDueWallMs: SITE_WALL_MS + 3_000,
    intervalMs: 4_000,
  };
  site.submit(ID, "mills", work, 0);
  site.run(3_000);
  t.is(site.starts, 4);
  site.wallClockLeadMs.clear();
  [0, 1].forEach((node) => {
    site.kill(node, 500);
  });
  site.run(2_900);
  t.is(site.starts, 4);
  site.run(8_000);
  t.is(site.starts, 6);
  t.deepEqual(site.unfinished(), []);
});
