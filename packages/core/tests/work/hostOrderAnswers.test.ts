import { hostId, type HostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type StepSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

/** Returns a step whose items need so much memory that only one fits on a worker. */
const wideStep = (count: number, memoryMb = 6_000): StepSpec => ({
  ...stepOf(count, 1_000, []),
  needs: { cpuMilli: 500, memoryMb, gpus: 0 },
});

const requestWave = (site: WorkSite, host: HostId): void => {
  const request = { wave: 1, hosts: [host], durationMs: 6_000, maxHostsOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
};

const runUntil = (site: WorkSite, holds: () => boolean): void => {
  for (let slice = 0; !holds(); slice += 1) {
    if (slice > 2_000) {
      throw new Error("the expected state was not reached within 20 s of simulated time");
    }
    site.run(10);
  }
};

const movesOf = (site: WorkSite, host: HostId): number =>
  site.effects.filter((effect) => effect.type === "power/move" && effect.host === host).length;

const workerOf = (site: WorkSite, host: HostId): string | null =>
  site.hosts.get(host)?.worker ?? null;

/** Loses all orders from now on, and runs until the owner has ordered the next move of a host. */
const loseNextMove = (site: WorkSite, host: HostId): void => {
  const movesBefore = movesOf(site, host);
  site.hostAnswerDelayMs = 2;
  for (const other of site.hosts.keys()) {
    site.hostsLosingOrders.add(other);
  }
  runUntil(site, () => movesOf(site, host) > movesBefore);
};

test("a late answer to a move ends a worker whose own, later move order was lost", (t) => {
  const site = new WorkSite(5, 1, 2, 1);
  const host = hostId("m-spare-0");
  site.run(500);
  site.runDurationMs = 60_000;
  site.submit(ID, "mills", workOf([wideStep(2)]), 0);
  site.run(100);
  site.runDurationMs = 1_000;
  site.hostAnswerDelayMs = 5_000;
  site.submit("00000000000000bb", "mills", workOf([wideStep(1, 9_000)]), 0);
  runUntil(site, () => workerOf(site, host) !== null);
  const worker = workerOf(site, host) ?? "";
  loseNextMove(site, host);
  site.submit("00000000000000cc", "mills", workOf([wideStep(1, 9_000)]), 0);
  site.runDurationMs = 5_000;
  site.run(9_000);
  t.is(site.workers.get(worker)?.runs.size, 1);
});

test("a late answer to a maintenance order ends a worker whose later move order was lost", (t) => {
  const site = new WorkSite(5, 1, 3);
  const host = hostId("m-mills-2");
  site.run(300);
  site.runDurationMs = 60_000;
  site.submit(ID, "mills", workOf([wideStep(2)]), 0);
  site.run(200);
  site.hostAnswerDelayMs = 6_000;
  requestWave(site, host);
  runUntil(site, () => workerOf(site, host) === null);
  site.hostAnswerDelayMs = 2;
  runUntil(site, () => workerOf(site, host) !== null);
  const worker = workerOf(site, host) ?? "";
  loseNextMove(site, host);
  site.submit("00000000000000bb", "mills", workOf([wideStep(1, 9_000)]), 0);
  site.run(9_000);
  t.is(site.workers.get(worker)?.runs.size, 1);
});

test("a repeated maintenance order interrupts work of a worker that started meanwhile", (t) => {
  const site = new WorkSite(5, 1, 3);
  const host = hostId("m-mills-2");
  site.run(300);
  site.runDurationMs = 20_000;
  site.submit(ID, "mills", workOf([wideStep(2)]), 0);
  site.run(200);
  site.runDurationMs = 3_000;
  site.hostsLosingOrders.add(host);
  requestWave(site, host);
  site.run(600);
  site.rebootHost(host);
  runUntil(site, () => workerOf(site, host) !== null);
  site.submit("00000000000000bb", "mills", workOf([wideStep(1)]), 0);
  site.run(300);
  site.hostsLosingOrders.clear();
  site.run(20_000);
  t.is(site.interruptedRuns, 0);
  t.is(site.hosts.get(host)?.maintenances, 1);
  t.deepEqual(site.unfinished(), []);
});
