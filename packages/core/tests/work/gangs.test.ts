import test from "ava";
import { criticalPathsMs, itemKeyOf, submissionId, type Effect } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

const startOrders = (site: WorkSite): Extract<Effect, { type: "worker/start" }>[] =>
  site.effects.filter((effect) => effect.type === "worker/start");

test("members of a gang start under different run numbers, or some without the others", (t) => {
  const site = new WorkSite(3);
  site.run(2_000);
  site.submit(ID, "mills", workOf([{ ...stepOf(4, 1_500, []), gang: true }]), 0);
  site.run(1_000);
  const keys = startOrders(site).map(({ item }) => item);
  t.deepEqual(
    [...keys].sort(),
    [0, 1, 2, 3].map((index) => itemKeyOf(submissionId(ID), 0, 0, index)),
  );
  t.is(new Set(startOrders(site).map(({ run }) => run)).size, 1);
});

test("a gang without capacity for all members starts some of them", (t) => {
  const site = new WorkSite(3);
  site.run(2_000);
  site.submit(ID, "mills", workOf([{ ...stepOf(7, 2_000, []), gang: true }]), 0);
  site.run(2_000);
  t.deepEqual(startOrders(site), []);
});

test("the critical path of a step leaves out the steps after it", (t) => {
  const work = workOf([
    { ...stepOf(1, 100, []), estimateMs: 100 },
    { ...stepOf(1, 100, [0]), estimateMs: 50 },
    { ...stepOf(1, 100, [0, 1]), estimateMs: 30 },
  ]);
  t.deepEqual(criticalPathsMs(work), [180, 80, 30]);
});
