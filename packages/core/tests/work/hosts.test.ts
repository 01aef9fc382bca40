import { hostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type Effect, type StepSpec, type StoreRow } from "../../src/index.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";
const STARTUP_MS = 200;

const movesTo = (site: WorkSite, pool: string): Extract<Effect, { type: "power/move" }>[] =>
  site.effects
    .filter((effect) => effect.type === "power/move")
    .filter((move) => move.pool === pool);

/** Returns a step whose items need so much memory that only one fits on a worker. */
const wideStep = (count: number): StepSpec => ({
  ...stepOf(count, 1_000, []),
  needs: { cpuMilli: 1_000, memoryMb: 6_000, gpus: 0 },
});

const requestWave = (
  site: WorkSite,
  pool: string,
  hosts: number,
  maxHostsOut: number,
  wave = 1,
): void => {
  const hostIds = Array.from({ length: hosts }, (_, index) => hostId(`m-${pool}-${index}`));
  const request = { wave, hosts: hostIds, durationMs: 30_000, maxHostsOut };
  site.store.put(`wave ${wave}`, { type: "wave", version: storeVersion(0), request });
};

/** Returns the waves that were reported as completed. */
const completedWaves = (site: WorkSite): number[] =>
  site.store
    .scan("progress")
    .flatMap((row) => (row.type === "waveReport" && row.completed ? [row.wave] : []));

const maintenancesOf = (site: WorkSite, pool: string): number[] =>
  [...site.hosts]
    .filter(([host]) => host.includes(pool))
    .map(([, { maintenances }]) => maintenances);

test("work is started on the stale worker of a host that was turned off", (t) => {
  const site = new WorkSite(5, 1, 6);
  site.run(4_500);
  t.true(movesTo(site, "spare").length > 0);
  site.submit(ID, "mills", workOf([wideStep(6)]), 0);
  site.run(3_000);
  t.is(site.startsOnRemovedWorkers, 0);
  t.deepEqual(site.unfinished(), []);
});

test("a host that was turned off can't be allocated until its stale registration expires", (t) => {
  const site = new WorkSite(5, 1, 6);
  site.run(4_500);
  const turnedOff = movesTo(site, "spare").length;
  t.true(turnedOff > 2);
  site.submit(ID, "mills", workOf([wideStep(11)]), 0);
  site.run(1_000);
  t.true(movesTo(site, "mills").length > 0);
});

test("a host that was turned off is turned off again and again", (t) => {
  const site = new WorkSite(5, 1, 6);
  site.run(20_000);
  const hosts = movesTo(site, "spare").map(({ host }) => host);
  t.is(new Set(hosts).size, hosts.length);
});

test("a maintenance wave skips hosts or takes too many out of service at once", (t) => {
  const site = new WorkSite(5, 2, 3);
  site.run(2_000);
  requestWave(site, "mills", 3, 1);
  site.run(30_000);
  t.deepEqual(maintenancesOf(site, "mills"), [1, 1, 1]);
  t.is(site.maxInMaintenance, 1);
});

// Guards against MIXED: a wave is reported as completed although hosts of it were in maintenance for
// another wave only.
for (const killsOwners of [false, true]) {
  const owners = killsOwners ? " of changing owners" : "";
  test(`the maintenance of a host for one wave${owners} counts for another one, too`, (t) => {
    const site = new WorkSite(5, 3, 6);
    site.run(2_000);
    requestWave(site, "mills", 4, 2);
    site.run(1_000);
    requestWave(site, "mills", 4, 2, 2);
    for (let second = 0; second < 60; second += 1) {
      site.run(1_000);
      if (killsOwners && second % 3 === 0 && second < 30) {
        site.kill(
          site.nodes.findIndex(({ state }) => state.work?.owned != null),
          500,
        );
      }
      for (const wave of completedWaves(site)) {
        const hosts = [...site.hosts].filter(([host]) => /mills-[0-3]$/u.test(host));
        t.true(hosts.every(([, { waves }]) => waves.has(wave)));
      }
    }
    t.deepEqual(completedWaves(site), [1, 2]);
  });
}

test("a maintenance wave stalls after all nodes are killed halfway through it", (t) => {
  const site = new WorkSite(5, 3, 3);
  site.run(2_000);
  requestWave(site, "mills", 3, 1);
  site.run(2_000);
  [0, 1, 2].forEach((node) => {
    site.kill(node, 1_000);
  });
  site.run(25_000);
  t.true(maintenancesOf(site, "mills").every((count) => count >= 1));
  t.is(site.maxInMaintenance, 1);
});

test("a maintenance wave exceeds the maxUnavailable of a long-running step", (t) => {
  const site = new WorkSite(5, 1, 3, 0, STARTUP_MS);
  site.runDurationMs = 600_000;
  site.run(2_000);
  const longRunning = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(ID, "mills", workOf([longRunning]), 0);
  site.run(1_000);
  requestWave(site, "mills", 3, 3);
  let maxAway = 0;
  for (let slice = 0; slice < 300; slice += 1) {
    site.run(100);
    const running = [...site.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0);
    maxAway = Math.max(maxAway, 3 - running);
  }
  t.deepEqual(maintenancesOf(site, "mills"), [1, 1, 1]);
  t.is(maxAway, 1);
});

test("a maintenance wave drains busy workers although it could start with hosts that are off", (t) => {
  const site = new WorkSite(5, 1, 3, 3);
  site.runDurationMs = 60_000;
  site.run(2_000);
  site.submit(ID, "mills", workOf([wideStep(2)]), 0);
  site.run(500);
  const hostIds = [...site.hosts.keys()].filter((host) => /mills|spare/u.test(host));
  const request = { wave: 1, hosts: hostIds, durationMs: 30_000, maxHostsOut: 3 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  site.run(5_000);
  t.deepEqual(maintenancesOf(site, "spare"), [1, 1, 1]);
  const busy = [...site.workers.values()].filter(({ runs }) => runs.size > 0);
  t.is(busy.length, 2);
});

test("a draining worker's item is stopped while another of its step is on an unreachable worker", (t) => {
  const site = new WorkSite(5, 1, 4, 0, STARTUP_MS);
  site.runDurationMs = 600_000;
  site.run(2_000);
  const longRunning = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(ID, "mills", workOf([longRunning]), 0);
  site.run(3_500);
  const [silent, other] = [...site.workers].filter(([, { runs }]) => runs.size > 0);
  site.unreachableWorkers.set(silent?.[0] ?? "", site.nowMs + 30_000);
  site.run(2_500);
  const report = other?.[1].report;
  t.truthy(report);
  if (report !== undefined) {
    const row = { type: "worker", version: storeVersion(0), report: { ...report, draining: true } };
    site.store.put(`worker ${report.id}`, row as StoreRow);
  }
  site.run(1_000);
  t.deepEqual(
    site.effects.filter(({ type }) => type === "worker/stop"),
    [],
  );
  site.run(4_000);
  t.true(
    site.effects.some((effect) => effect.type === "worker/stop" && effect.worker === report?.id),
  );
});

test("a surge in one pool takes all spare hosts and leaves none for another pool", (t) => {
  const site = new WorkSite(5, 1, 2, 3);
  site.runDurationMs = 60_000;
  site.run(2_000);
  const smallStep = stepOf(1, 100, []);
  const bigStep = { ...smallStep, needs: { cpuMilli: 100, memoryMb: 9_000, gpus: 0 }, count: 3 };
  site.submit(ID, "mills", workOf([{ ...bigStep, count: 8 }]), 0);
  site.submit("00000000000000bb", "dies", workOf([bigStep]), 0);
  site.run(500);
  t.is(movesTo(site, "dies").length, 1);
  t.is(movesTo(site, "mills").length, 2);
});

test("a maintenance wave takes both workers of a pool out of service at once", (t) => {
  const site = new WorkSite(5, 1, 2, 1);
  site.runDurationMs = 1_000;
  site.run(2_000);
  const hostIds = [...site.hosts.keys()].filter((host) => host.includes("mills"));
  const request = { wave: 1, hosts: hostIds, durationMs: 12_000, maxHostsOut: 2 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  for (let slice = 0; slice < 80; slice += 1) {
    site.run(100);
    const workers = [...site.workers.values()].filter(({ report }) => report.pool === "mills");
    t.true(workers.length > 0);
  }
  site.run(6_000);
  t.deepEqual(maintenancesOf(site, "mills"), [1, 1]);
});

test("a busy host goes to maintenance because the registration of its worker is missing", (t) => {
  const site = new WorkSite(5, 1, 3, 1, STARTUP_MS);
  site.runDurationMs = 600_000;
  site.run(2_000);
  site.submit(ID, "mills", workOf([{ ...stepOf(1, 900, []), lasting: true }]), 0);
  site.run(1_000);
  const [busy] = [...site.workers.values()].filter(({ runs }) => runs.size > 0);
  t.truthy(busy);
  if (busy !== undefined) {
    site.store.removeWorker(busy.report.id);
  }
  requestWave(site, "mills", 3, 1);
  site.run(10_000);
  t.is(site.interruptedRuns, 0);
});

test("a new owner sends no orders to hosts that the previous owner ordered long ago", (t) => {
  const site = new WorkSite(5, 1, 5);
  site.run(4_500);
  const turnedOff = movesTo(site, "spare").length;
  t.true(turnedOff > 2);
  site.kill(0, 200);
  site.run(1_500);
  site.submit(ID, "mills", workOf([wideStep(6)]), 0);
  site.run(300);
  t.true(movesTo(site, "mills").length > 0);
});

test("a new owner sends an order to a host that the previous owner has just ordered", (t) => {
  const site = new WorkSite(5, 1, 5, 0);
  while (movesTo(site, "spare").length === 0) {
    site.run(10);
  }
  const orderedAtMs = site.nowMs;
  const ordered = new Set(movesTo(site, "spare").map(({ host }) => host));
  site.kill(0, 100);
  site.run(300);
  site.submit(ID, "mills", workOf([wideStep(10)]), 0);
  site.run(orderedAtMs + BOUNDS.hostOrderLeaseMs - site.nowMs);
  t.false(movesTo(site, "mills").some(({ host }) => ordered.has(host)));
});
