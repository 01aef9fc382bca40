import test from "ava";
import { SUBMISSION_STATE } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

/** More than one write of the owner holds. */
const SUBMISSIONS = 150;
const WRITTEN_AT_ONCE = 90;

/** The owner's silence, and the time in which a successor reads what is stored. */
const UNTIL_STARTS_MS = 2_400;

const SMALL = { ...stepOf(1, 500, []), needs: { cpuMilli: 20, memoryMb: 10, gpus: 0 } };

const submit = (site: WorkSite, prefix: string, number: number): void => {
  const id = `${prefix}${number.toString(16).padStart(15, "0")}`;
  site.submit(id, "mills", workOf([SMALL]), number);
};

const completed = (site: WorkSite): number =>
  site.store
    .scan("progress")
    .filter((row) => row.type === "progress" && row.progress.state === SUBMISSION_STATE.COMPLETED)
    .length;

/** Kills the owner, and cuts its successor off from the workers that list ends. */
const killOwner = (site: WorkSite): void => {
  site.kill(
    site.nodes.findIndex(({ state }) => state.work?.owned != null),
    60_000,
  );
  for (const { ends, report } of site.workers.values()) {
    if (ends.length > 0) {
      site.cutWorkers.set(report.id, site.nowMs + UNTIL_STARTS_MS);
    }
  }
};

const siteWithWork = (): WorkSite => {
  const site = new WorkSite(5, 2, 2);
  site.workMs = 1_000;
  site.run(2_000);
  for (let number = 0; number < SUBMISSIONS; number += 1) {
    submit(site, "a", number);
  }
  return site;
};

test("work that is done runs again after its owner died between two writes", (t) => {
  const site = siteWithWork();
  while (completed(site) < WRITTEN_AT_ONCE) {
    site.run(1);
  }
  t.true(completed(site) < SUBMISSIONS);
  killOwner(site);
  site.run(10_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.starts, SUBMISSIONS);
});

test("an owner of more work than one row holds stops ordering", (t) => {
  const site = new WorkSite(5, 1, 6);
  site.workMs = 2_000;
  site.run(2_000);
  const needs = { cpuMilli: 2, memoryMb: 1, gpus: 0 };
  for (let number = 0; number < 3_000; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    site.submit(id, "mills", workOf([{ ...SMALL, needs }]), 0);
  }
  site.run(10_000);
  t.deepEqual(site.unfinished(), []);
});
