import test from "ava";
import type { Effect } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const SUBMISSION_ID = "00000000000000aa";

const startsOf = (site: WorkSite): Extract<Effect, { type: "worker/start" }>[] =>
  site.effects.filter((effect) => effect.type === "worker/start");

test("an item is ordered again on its worker that has stopped responding", (t) => {
  const site = new WorkSite(5, 1, 3);
  site.runDurationMs = 1_500;
  site.run(2_000);
  site.submit(SUBMISSION_ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(1_000);
  const [first] = startsOf(site);
  const unresponsive = first?.worker ?? "";
  t.truthy(site.workers.get(unresponsive));
  site.unreachableWorkers.set(unresponsive, site.nowMs + 30_000);
  site.run(12_000);
  const again = startsOf(site).slice(1);
  t.is(again.length, 1);
  t.not(again[0]?.worker, first?.worker);
  t.deepEqual(site.unfinished(), []);
});

/**
 * Returns an installation whose only node was killed and restarted, with work that needs two more
 * hosts.
 */
const siteWithNewOwner = (): WorkSite => {
  const site = new WorkSite(5, 1, 2, 2);
  site.runDurationMs = 60_000;
  site.run(2_000);
  site.kill(0, 500);
  site.run(1_500);
  const needs = { cpuMilli: 100, memoryMb: 9_000, gpus: 0 };
  site.submit(SUBMISSION_ID, "mills", workOf([{ ...stepOf(4, 100, []), needs }]), 0);
  return site;
};

test("a worker that registers after a change of owner waits for stops that it never received", (t) => {
  const site = siteWithNewOwner();
  const known = new Set(site.workers.keys());
  const added = (): string[] => [...site.workers.keys()].filter((id) => !known.has(id));
  while (added().length < 2) {
    site.run(10);
  }
  site.run(150);
  t.deepEqual(
    added().map((id) => site.workers.get(id)?.runs.size),
    [1, 1],
  );
});
