import test from "ava";
import type { Worker } from "../../src/index.js";
import { transferRuns } from "../../src/work/workers/abandonedRuns.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

test("a long-running run is not counted on the next incarnation of its worker", (t) => {
  const site = new WorkSite(5, 1, 3, 0, 200);
  site.runDurationMs = 600_000;
  site.run(300);
  site.submit("00000000000000aa", "mills", workOf([{ ...stepOf(1, 900, []), lasting: true }]), 0);
  site.run(1_000);
  const { work } = site.nodes[0]?.state ?? {};
  const owned = work?.owned;
  const workers: readonly Worker[] = [...(owned?.workers.values() ?? [])];
  const from = workers.find(({ longRunningRuns }) => longRunningRuns > 0);
  const to = workers.find(({ runs }) => runs.size === 0);
  if (work == null || owned == null || from === undefined || to === undefined) {
    t.fail();
    return;
  }
  for (const run of from.runs.values()) {
    run.listed = false;
    run.confirmedAtMs = null;
  }
  const { nowMs } = site;
  transferRuns({ work, nowMs, wallMs: nowMs, effects: [] }, owned, from, to, nowMs);
  t.is(to.runs.size, 1);
  t.is(to.longRunningRuns, 1);
});
