import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const TARGET_MS = 100;

const pacePercentsOf = (site: WorkSite): number[] =>
  site.effects.flatMap((effect) => (effect.type === "worker/pace" ? [effect.percent] : []));

const siteWithFiller = (): WorkSite => {
  const site = new WorkSite(5, 1, 1);
  site.runDurationMs = 100_000;
  site.run(2_000);
  const serving = { ...stepOf(1, 500, []), lasting: true, tailTargetMs: TARGET_MS };
  const filler = { ...stepOf(1, 500, []), lasting: true, filler: true };
  site.submit("00000000000000aa", "mills", workOf([serving, filler]), 0);
  site.run(1_000);
  return site;
};

const listLoad = (site: WorkSite, load: number): void => {
  for (const worker of site.workers.values()) {
    worker.load = load;
  }
};

test("a filler runs on beside work whose tail latency nears its target", (t) => {
  const site = siteWithFiller();
  listLoad(site, TARGET_MS * 0.9);
  site.run(1_500);
  t.deepEqual(pacePercentsOf(site), [0]);
});

test("a filler returns to full pace at once, or never, when the tail latency is low again", (t) => {
  const site = siteWithFiller();
  listLoad(site, TARGET_MS * 2);
  site.run(1_500);
  listLoad(site, TARGET_MS * 0.3);
  site.run(1_000);
  t.deepEqual(pacePercentsOf(site), [0]);
  site.run(15_000);
  t.deepEqual(pacePercentsOf(site), [0, 25, 50, 75, 100]);
});

test("a filler beside work with a low tail latency is slowed", (t) => {
  const site = siteWithFiller();
  listLoad(site, TARGET_MS * 0.3);
  site.run(5_000);
  t.deepEqual(pacePercentsOf(site), []);
});
