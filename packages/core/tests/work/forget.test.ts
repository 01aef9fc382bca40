import test from "ava";
import type { SubmissionId } from "../../src/index.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

test("a submission runs again whose rows go while all hand-ins are read anew", (t) => {
  const site = new WorkSite(5, 1, 2);
  site.workMs = 300;
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(BOUNDS.statusKeptMs + 25_000);
  t.deepEqual(site.unfinished(), []);
  site.scanAnswerMs = { handIns: 20_000 };
  site.store.forgottenUpTo = site.store.version + 1;
  site.run(25_000);
  site.scanAnswerMs = {};
  site.run(20_000);
  t.is(site.starts, 1);
  t.deepEqual(site.store.lookUp(ID as SubmissionId), []);
});
