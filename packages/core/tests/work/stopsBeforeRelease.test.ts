import test from "ava";
import { EvacuationSite, LONG_RUNNING } from "./evacuationSite.js";
import { stepOf, workOf } from "./workSpecs.js";

const hasStopped = ({ effects }: EvacuationSite): boolean =>
  effects.some(({ type }) => type === "worker/stop");

for (const seed of [1, 2, 3, 4]) {
  test(`seed ${seed}: the next owner starts an item elsewhere while a stop by the released one goes on`, (t) => {
    const site = new EvacuationSite(seed, 3, 6);
    site.run(2_000);
    const step = { ...stepOf(6, 900, []), lasting: true, maxUnavailable: 1 };
    site.submit(LONG_RUNNING, "mills", workOf([step]), 0);
    site.run(2_000);
    const zone = site.runsIn("b") > 0 ? "b" : "c";
    site.evacuate(zone);
    for (let waitedMs = 0; waitedMs < 5_000 && !hasStopped(site); waitedMs += 1) {
      site.run(1);
    }
    t.true(hasStopped(site));
    site.stopGracefully(site.ownerIndex());
    site.run(6_000);
    t.is(site.longRunningOutside(zone), 6);
  });
}
