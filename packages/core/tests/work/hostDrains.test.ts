import test from "ava";
import { maxMinShares } from "../../src/work/hosts/maxMinShares.js";
import type { StepSpec, SubmissionId } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const URGENT = "00000000000000ff";

/** Returns a step whose items need so much memory that only one fits on a worker. */
const wideStep = (count: number): StepSpec => ({
  ...stepOf(count, 100, []),
  needs: { cpuMilli: 100, memoryMb: 6_000, gpus: 0 },
});

test("scarce hosts all go to one large need and small needs get none", (t) => {
  t.deepEqual(maxMinShares([2, 30, 3], 20), [2, 15, 3]);
  t.deepEqual(maxMinShares([30, 40], 20), [10, 10]);
  t.deepEqual(maxMinShares([1, 2], 20), [1, 2]);
  t.deepEqual(maxMinShares([], 20), []);
});

test("a pool keeps its hosts for late work while another pool could still meet its target", (t) => {
  const site = new WorkSite(5, 1, 8);
  site.runDurationMs = 1_000;
  for (let number = 0; number < 80; number += 1) {
    site.schedule(300 + number * 20, () => {
      site.submit(number.toString(16).padStart(16, "0"), "mills", workOf([wideStep(3)]), 0);
    });
  }
  site.run(8_000);
  site.submit(URGENT, "dies", workOf([wideStep(16)]), 0);
  site.run(6_000);
  t.true(site.accepted.has(URGENT as SubmissionId));
  t.false(site.unfinished().includes(URGENT));
});
