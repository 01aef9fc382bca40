import { hostId, poolId } from "@heatherferry/common";
import test from "ava";
import type { Effect, StepSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** One item to a worker of the site. */
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

/** Its owner has heard `dies-2`, the only idle worker of its pool, whose host leaves just then. */
const siteWithStaleEntry = (leave: (site: WorkSite) => void): WorkSite => {
  const site = new WorkSite(5, 1, 3);
  site.run(200);
  site.workMs = 20_000;
  site.submit("00000000000000dd", "dies", workOf([wideStep(2)]), 0);
  site.run(200);
  site.workMs = 3_000;
  leave(site);
  return site;
};

test("items of a worker that just came start again since a move of its host was done before", (t) => {
  const site = siteWithStaleEntry((left) => {
    left.moveLate(hostId("m-dies-2"), poolId("mills"));
  });
  site.run(1_500);
  submitSingles(site, "mills", 0, 10);
  site.run(20_000);
  t.deepEqual(site.unfinished(), []);
  t.is(site.starts, 10 + 2);
});

test("a host that came back with work is moved since its old worker looks idle", (t) => {
  const host = hostId("m-dies-2");
  const site = siteWithStaleEntry((left) => {
    left.rebootHost(host);
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
  t.is(site.runsCutOff, 0);
});

test("a pool loses its idle workers to a step that none of them may run", (t) => {
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

test("a host's worker is forgotten when the entry of the one before it lapses", (t) => {
  const host = hostId("m-dies-2");
  const site = siteWithStaleEntry((left) => {
    left.rebootHost(host);
  });
  const old = site.store
    .scan("workers")
    .find((row) => row.type === "worker" && row.report.host === host);
  site.run(1_700);
  site.submit("00000000000000ee", "dies", workOf([wideStep(1)]), 0);
  site.run(100);
  if (old !== undefined) {
    site.store.put("worker dies-2", old);
  }
  while (movesOf(site, host).at(-1)?.pool !== "spare" || site.hosts.get(host)?.state === "up") {
    site.run(10);
  }
  site.submit("00000000000000ff", "dies", workOf([wideStep(1)]), 0);
  site.run(1_000);
  t.is(site.startsOnGoneWorkers, 0);
});
