import { queueId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type SubmissionId } from "../../src/index.js";
import { CATALOG } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

const WITHOUT_MILLS = {
  ...CATALOG,
  revision: 2,
  queues: CATALOG.queues.filter(({ id }) => id !== queueId("mills")),
};

/** A site that drops the queue of a submission of which every run fails. */
const siteWithDroppedQueue = (): WorkSite => {
  const site = new WorkSite(5, 2, 3);
  site.failingRunPercent = 100;
  site.runDurationMs = 400;
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(200);
  site.store.put("catalog", {
    type: "catalog",
    version: storeVersion(0),
    catalog: WITHOUT_MILLS,
  });
  return site;
};

// Guards against BUDGET: without its queue in the catalog, an item is started without limit.
for (const { what, change } of [
  { what: "goes on", change: () => undefined },
  {
    what: "changes",
    change: (site: WorkSite) => {
      site.kill(0, 300);
      site.kill(1, 3_000);
    },
  },
]) {
  test(`an item of a dropped queue starts beyond its attempts while the owner ${what}`, (t) => {
    const site = siteWithDroppedQueue();
    change(site);
    t.notThrows(() => {
      site.run(30_000);
    });
    t.deepEqual(site.unfinished(), []);
    const stored = site.store.lookUp(ID as SubmissionId).find(({ type }) => type === "handIn");
    t.is(stored?.type === "handIn" ? stored.submission.maxAttempts : null, 3);
  });
}
