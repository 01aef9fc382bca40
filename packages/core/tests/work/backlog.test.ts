import test from "ava";
import { ConnectionLimitedSite } from "./connectionLimitedSite.js";
import { stepOf, workOf } from "./workSpecs.js";

const POOL = "mills";
const WORKERS = 250;
/** Processor time of the strongest node, in cores. */
const CORES = 1.35;

const SUBMISSIONS = 600;
const ITEMS = 8;
const ITEM_NEEDS = { cpuMilli: 1, memoryMb: 1_000, gpus: 0 };
/** A worker has 10,000 MB. */
const ITEMS_PER_WORKER = 10;
const WORK_MS = 640;
const SUBMIT_INTERVAL_MS = 2;

const SAMPLE_MS = 100;
const SCENARIO_MS = 60_000;

/** Work must not wait this long while more than half of the usable capacity is free. */
const MAX_IDLE_CAPACITY_MS = 3_000;

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** Returns how many items fit on the registered workers. */
const capacityOf = (site: ConnectionLimitedSite): number =>
  ITEMS_PER_WORKER * [...site.workers.values()].filter(({ report }) => report.pool === POOL).length;

/** Returns the longest time, in ms, for which less than half of the items that could run did. */
const longestIdleCapacityMs = (site: ConnectionLimitedSite): number => {
  const allSubmittedAtMs = site.nowMs + SUBMISSIONS * SUBMIT_INTERVAL_MS;
  const endsAtMs = site.nowMs + SCENARIO_MS;
  let idleCapacityMs = 0;
  let mostMs = 0;
  let waits = true;
  while (site.nowMs < endsAtMs && waits && mostMs < MAX_IDLE_CAPACITY_MS) {
    site.run(SAMPLE_MS);
    const { length } = site.unfinished();
    const target = Math.min(capacityOf(site), ITEMS * length);
    idleCapacityMs = site.running < target / 2 ? idleCapacityMs + SAMPLE_MS : 0;
    mostMs = Math.max(mostMs, idleCapacityMs);
    waits = length > 0 || site.nowMs < allSubmittedAtMs;
  }
  return mostMs;
};

for (const { cores, label } of [
  { cores: 20 * CORES, label: "with ample processor time" },
  { cores: CORES, label: "on the strongest node" },
]) {
  test(`an owner ${label} leaves work waiting while workers are free`, (t) => {
    const site = new ConnectionLimitedSite(5, WORKERS, cores);
    site.runDurationMs = WORK_MS;
    site.run(2_000);
    for (let number = 0; number < SUBMISSIONS; number += 1) {
      site.schedule(number * SUBMIT_INTERVAL_MS, () => {
        site.submit(
          idOf(number),
          POOL,
          workOf([{ ...stepOf(ITEMS, 1, []), needs: ITEM_NEEDS }]),
          0,
        );
      });
    }
    const idleCapacityMs = longestIdleCapacityMs(site);
    t.log({
      idleCapacityMs,
      delayedStarts: site.delayedStarts,
      unfinished: site.unfinished().length,
    });
    t.true(
      idleCapacityMs < MAX_IDLE_CAPACITY_MS,
      `work waited for ${idleCapacityMs} ms while workers were free`,
    );
    t.deepEqual(site.unfinished(), []);
  });
}
