import test from "ava";
import type { SubmissionId } from "../../src/index.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

/** Time after the end of the retention within which a submission is purged. */
const PURGED_AFTER_MS = 60_000;

const ID = "00000000000000aa";

test("a submission runs again after its rows are purged during a scan of all submissions", (t) => {
  const site = new WorkSite(5, 1, 2);
  site.runDurationMs = 300;
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(BOUNDS.statusRetentionMs + 25_000);
  t.deepEqual(site.unfinished(), []);
  site.scanAnswerMs = { handIns: 20_000 };
  site.store.historyLostUpTo = site.store.version + 1;
  site.run(25_000);
  site.scanAnswerMs = {};
  site.run(20_000);
  t.is(site.starts, 1);
  t.deepEqual(site.store.lookUp(ID as SubmissionId), []);
});

test("a node that has lost ownership deletes the progress row of a submission", (t) => {
  const site = new WorkSite(5, 2, 2);
  site.runDurationMs = 300;
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(BOUNDS.statusRetentionMs + PURGED_AFTER_MS);
  t.deepEqual(site.store.lookUp(ID as SubmissionId), []);
  const removals = site.effects.filter(
    (effect) =>
      effect.type === "store/commit" && effect.removes.some(({ type }) => type === "progress"),
  );
  t.true(removals.length > 0);
  for (const removal of removals) {
    t.true(
      removal.type === "store/commit" && removal.conditions.some(({ row }) => row.type === "owner"),
    );
  }
});
