import { hostId, poolId } from "@heatherferry/common";
import test from "ava";
import type { Effect, StepSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** Returns a step whose items need so much memory that only one fits on a worker. */
const wideStep = (count: number): StepSpec => ({
  ...stepOf(count, 1_000, []),
  needs: { cpuMilli: 500, memoryMb: 6_000, gpus: 0 },
});

const movesOf = (site: WorkSite, host: string): Extract<Effect, { type: "power/move" }>[] =>
  site.effects
    .filter((effect) => effect.type === "power/move")
    .filter((move) => move.host === host);

const submitSingles = (site: WorkSite, pool: string, from: number, count: number): void => {
  for (let number = from; number < from + count; number += 1) {
    site.submit(idOf(number), pool, workOf([wideStep(1)]), 0);
  }
};

/**
 * Returns a site whose owner knows `dies-2` as the only idle worker of its pool and has no newer
 * answer from it when its host goes down.
 *
 * @param takeDown - Takes down the host of `dies-2`.
 */
const siteWithStaleWorker = (takeDown: (site: WorkSite) => void): WorkSite => {
  const site = new WorkSite(5, 1, 3);
  site.run(200);
  site.runDurationMs = 20_000;
  site.submit("00000000000000dd", "dies", workOf([wideStep(2)]), 0);
  site.run(200);
  site.runDurationMs = 3_000;
  takeDown(site);
  return site;
};

test("items of a new worker start again after a move that its host had already carried out", (t) => {
  const site = siteWithStaleWorker((staleSite) => {
    staleSite.applyLateMove(hostId("m-dies-2"), poolId("mills"));
  });
  site.run(1_500);
  submitSingles(site, "mills", 0, 10);
  site.run(20_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.starts, 10 + 2);
});

test("a host with a busy new worker is moved because its stale worker seems idle", (t) => {
  const host = hostId("m-dies-2");
  const site = siteWithStaleWorker((staleSite) => {
    staleSite.rebootHost(host);
  });
  site.run(1_700);
  site.submit("00000000000000ee", "dies", workOf([wideStep(1)]), 0);
  site.run(200);
  const [busy] = [...site.workers.values()].filter(
    ({ report, runs }) => report.host === host && runs.size > 0,
  );
  t.truthy(busy);
  submitSingles(site, "mills", 0, 10);
  site.run(2_500);
  t.is(site.interruptedRuns, 0);
});

test("a pool loses idle workers to a waiting step that none of them may run", (t) => {
  const site = new WorkSite(5, 1, 5);
  site.run(300);
  const nowhere = { ...stepOf(8, 1_000, []), maxPerWorker: 1, requiredLabel: "nowhere" };
  site.submit(idOf(1), "mills", workOf([nowhere]), 0);
  site.run(1_000);
  const moves = site.effects.filter((effect) => effect.type === "power/move");
  t.deepEqual(
    moves.filter(({ host, pool }) => host.includes("mills") && pool === "mills"),
    [],
  );
  site.submit(idOf(2), "mills", workOf([wideStep(4)]), 0);
  site.run(5_000);
  t.deepEqual(site.unfinished(), [idOf(1)]);
});

test("a host's worker is removed when the registration of its previous worker expires", (t) => {
  const host = hostId("m-dies-2");
  const site = siteWithStaleWorker((staleSite) => {
    staleSite.rebootHost(host);
  });
  const staleRow = site.store
    .scan("workers")
    .find((row) => row.type === "worker" && row.report.host === host);
  site.run(1_700);
  site.submit("00000000000000ee", "dies", workOf([wideStep(1)]), 0);
  site.run(100);
  if (staleRow !== undefined) {
    site.store.put("worker dies-2", staleRow);
  }
  while (movesOf(site, host).at(-1)?.pool !== "spare" || site.hosts.get(host)?.state === "up") {
    site.run(10);
  }
  site.submit("00000000000000ff", "dies", workOf([wideStep(1)]), 0);
  site.run(1_000);
  t.is(site.startsOnRemovedWorkers, 0);
});
