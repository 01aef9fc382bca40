import { poolId } from "@heatherferry/common";
import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const LONG_RUN_MS = 600_000;

const idOf = (number: number): string => `a${number.toString(16).padStart(15, "0")}`;

/** A site of three workers whose items take ten minutes each, a percent in six seconds. */
const slowSite = (submissions: number): WorkSite => {
  const site = new WorkSite(5, 1, 3);
  site.runDurationMs = LONG_RUN_MS;
  site.run(2_000);
  for (let number = 0; number < submissions; number += 1) {
    site.submit(idOf(number), "mills", workOf([stepOf(1, 900, [])]), 0);
  }
  return site;
};

// Guards against LOST: an item whose percent rises slowly is stopped again and again.
test("an item that takes ten minutes is never done", (t) => {
  const site = slowSite(1);
  site.run(LONG_RUN_MS + 60_000);
  t.deepEqual(site.unfinished(), []);
});

/** Returns the share of a pool's workers that are suspended. */
const suspendedShare = ({ nodes }: WorkSite): number => {
  const pool = nodes[0]?.state.work?.owned?.pools.get(poolId("mills"));
  const workers = [...(pool?.workers ?? [])];
  const nowMs = nodes[0]?.state.work?.tickedAtMs ?? 0;
  const suspended = workers.filter(({ suspendedUntilMs }) => suspendedUntilMs > nowMs);
  return suspended.length / Math.max(1, workers.length);
};

// Guards against LOST: slow work has all workers of a pool suspended, and nothing else starts.
test("work without progress suspends all workers of a pool", (t) => {
  const site = slowSite(12);
  let mostSuspended = 0;
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
    site.run(100);
    mostSuspended = Math.max(mostSuspended, suspendedShare(site));
  }
  t.true(mostSuspended < 1, `${mostSuspended} of the workers were suspended`);
});
