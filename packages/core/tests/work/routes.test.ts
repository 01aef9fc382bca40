import { poolId, type PoolId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type Catalog } from "../../src/index.js";
import { CATALOG } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const FILLS = "00000000000000aa";
const WAITS = "00000000000000ab";

/** All queues lead to the pools that are named for them, but for one that leads elsewhere. */
const catalogOf = (revision: number, pools: readonly string[], millsTo: PoolId): Catalog => ({
  ...CATALOG,
  revision,
  queues: CATALOG.queues.map((queue) =>
    queue.id === "mills" ? { ...queue, pool: millsTo } : queue,
  ),
  pools: CATALOG.pools.filter(({ id }) => pools.includes(id)),
});

const configure = (site: WorkSite, catalog: Catalog): void => {
  site.store.put("catalog", { type: "catalog", version: storeVersion(0), catalog });
};

test("work that waits is lost when its queue moves to a pool that is new", (t) => {
  const site = new WorkSite(5, 1, 0);
  configure(site, catalogOf(2, ["dies"], poolId("dies")));
  site.addHost("dies-0", "dies");
  site.run(2_000);
  site.workMs = 60_000;
  site.submit(FILLS, "dies", workOf([stepOf(1, 3_500, [])]), 0);
  site.run(500);
  site.workMs = 500;
  site.submit(WAITS, "mills", workOf([stepOf(1, 1_000, [])]), 0);
  site.run(500);
  t.is(site.starts, 1);
  configure(site, catalogOf(3, ["dies", "mills"], poolId("mills")));
  site.run(500);
  site.addHost("mills-0", "mills");
  site.run(3_000);
  t.deepEqual(site.unfinished(), [FILLS]);
});
