import test from "ava";
import { SUBMISSION_STATE } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

/** More than one owner commit can record. */
const SUBMISSIONS = 150;
const ROWS_PER_COMMIT = 90;

/** Time until a successor claims ownership and has loaded the tables. */
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

/** Kills the owner, and makes the workers that list run ends unreachable for its successor. */
const killOwnerAndCutWorkers = (site: WorkSite): void => {
  site.kill(
    site.nodes.findIndex(({ state }) => state.work?.owned != null),
    60_000,
  );
  for (const { ends, report } of site.workers.values()) {
    if (ends.length > 0) {
      site.unreachableWorkers.set(report.id, site.nowMs + UNTIL_STARTS_MS);
    }
  }
};

const siteWithWork = (): WorkSite => {
  const site = new WorkSite(5, 2, 2);
  site.runDurationMs = 1_000;
  site.run(2_000);
  for (let number = 0; number < SUBMISSIONS; number += 1) {
    submit(site, "a", number);
  }
  return site;
};

test("completed work runs again after its owner failed between two commits", (t) => {
  const site = siteWithWork();
  while (completed(site) < ROWS_PER_COMMIT) {
    site.run(1);
  }
  t.true(completed(site) < SUBMISSIONS);
  killOwnerAndCutWorkers(site);
  site.run(10_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.starts, SUBMISSIONS);
});

test("an owner with more submissions than one stored row can list stops starting runs", (t) => {
  const site = new WorkSite(5, 1, 6);
  site.runDurationMs = 2_000;
  site.run(2_000);
  const needs = { cpuMilli: 2, memoryMb: 1, gpus: 0 };
  for (let number = 0; number < 3_000; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    site.submit(id, "mills", workOf([{ ...SMALL, needs }]), 0);
  }
  site.run(10_000);
  t.deepEqual(site.unfinished(), []);
});
