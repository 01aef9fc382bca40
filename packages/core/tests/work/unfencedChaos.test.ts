import test from "ava";
import { runUnfencedScenario } from "./chaosScenarios.js";
import { WorkSite } from "./workSite.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "20");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
  test(`seed ${seed}: a host that checks no fencing token obeys an owner after the next one`, (t) => {
    const site = runUnfencedScenario(seed);
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningAfterCancel(), []);
    t.true(site.hostOrdersCarriedOut > 5);
  });
}

/**
 * Returns an installation whose owner has sent an order to move a host, which waits for a
 * connection.
 */
const siteWithWaitingOrder = (): WorkSite => {
  const site = new WorkSite(5, 2, 6);
  site.hostsCheckFences = false;
  site.delayedOrderPercent = 100;
  while (!site.effects.some(({ type }) => type === "power/move")) {
    site.run(1);
  }
  return site;
};

test("an order that waited while its owner was suspended reaches a host of the next owner", (t) => {
  const site = siteWithWaitingOrder();
  const owner = site.nodes.findIndex(({ state }) => state.work?.owned != null);
  site.freeze(owner, 9_000);
  site.run(20_000);
  t.true(site.hostOrdersCarriedOut > 0);
});
