import { poolId, type PoolId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type Catalog } from "../../src/index.js";
import { CATALOG } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const FILLING_ID = "00000000000000aa";
const WAITING_ID = "00000000000000ab";

/** A catalog whose queues use the pools of the same name, except for the queue `mills`. */
const catalogOf = (revision: number, pools: readonly string[], millsPool: PoolId): Catalog => ({
  ...CATALOG,
  revision,
  queues: CATALOG.queues.map((queue) =>
    queue.id === "mills" ? { ...queue, pool: millsPool } : queue,
  ),
  pools: CATALOG.pools.filter(({ id }) => pools.includes(id)),
});

const configure = (site: WorkSite, catalog: Catalog): void => {
  site.store.put("catalog", { type: "catalog", version: storeVersion(0), catalog });
};

test("waiting work is lost when its queue is assigned to a new pool", (t) => {
  const site = new WorkSite(5, 1, 0);
  configure(site, catalogOf(2, ["dies"], poolId("dies")));
  site.addHost("dies-0", "dies");
  site.run(2_000);
  site.runDurationMs = 60_000;
  site.submit(FILLING_ID, "dies", workOf([stepOf(1, 3_500, [])]), 0);
  site.run(500);
  site.runDurationMs = 500;
  site.submit(WAITING_ID, "mills", workOf([stepOf(1, 1_000, [])]), 0);
  site.run(500);
  t.is(site.starts, 1);
  configure(site, catalogOf(3, ["dies", "mills"], poolId("mills")));
  site.run(500);
  site.addHost("mills-0", "mills");
  site.run(3_000);
  t.deepEqual(site.unfinished(), [FILLING_ID]);
});
