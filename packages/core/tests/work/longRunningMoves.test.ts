import { hostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type ItemKey, type StepSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const LONG_RUNNING = "00000000000000aa";

const STARTUP_MS = 200;

/** An ended item of long-running work must run again within this time. */
const RESTART_MS = 6_000;

const stopCount = (site: WorkSite): number =>
  site.effects.filter(({ type }) => type === "worker/stop").length;

/** Time after which a disconnected worker no longer runs anything, since its lease has expired. */
const LEASE_MS = 4_300;

const includesLongRunning = (items: readonly string[]): boolean =>
  items.some((item) => item.startsWith(LONG_RUNNING));

const runsLongRunning = (site: WorkSite): boolean =>
  [...site.workers.values()].some(({ runs }) => includesLongRunning([...runs.keys()]));

test("a maintenance wave stops long-running work for which no other worker has capacity", (t) => {
  const site = new WorkSite(5, 1, 3, 0, STARTUP_MS);
  site.runDurationMs = 600_000;
  site.run(300);
  const spreadStep = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(LONG_RUNNING, "mills", workOf([spreadStep]), 0);
  site.run(1_000);
  for (const host of site.hosts.keys()) {
    site.hostsLosingOrders.add(host);
  }
  const targetHost = hostId("m-mills-0");
  const request = { wave: 1, hosts: [targetHost], durationMs: 20_000, maxHostsOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  site.run(3_500);
  t.is(stopCount(site), 0);
  site.hostsLosingOrders.clear();
  site.run(20_000);
  t.is(site.hosts.get(targetHost)?.maintenances, 1);
});

test("a maintenance wave moves long-running work as soon as another worker has capacity for it", (t) => {
  const site = new WorkSite(5, 1, 3, 0, STARTUP_MS);
  site.runDurationMs = 600_000;
  site.run(2_000);
  const step = { ...stepOf(1, 900, []), lasting: true, maxUnavailable: 1 };
  site.submit(LONG_RUNNING, "mills", workOf([step]), 0);
  site.run(1_000);
  const busyHost = [...site.workers.values()].find(({ runs }) => runs.size > 0)?.report.host;
  const request = { wave: 1, hosts: [busyHost ?? hostId("")], durationMs: 18_000, maxHostsOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  site.run(1_500);
  t.is(stopCount(site), 1);
  t.true(runsLongRunning(site));
});

/** Long-running items run for longer than any test; the others take a time drawn at random. */
class LongRunningSite extends WorkSite {
  protected override durationMs = (item: ItemKey): number =>
    item.startsWith(LONG_RUNNING) ? 600_000 : 200 + this.randomBelow(this.runDurationSpreadMs);
}

/** Returns a step with one short item; three such items fit on a worker. */
const shortStep = (ms: number): StepSpec => ({
  ...stepOf(1, ms, []),
  needs: { cpuMilli: 100, memoryMb: 3_000, gpus: 0 },
});

test("long-running work that lost its worker waits behind short work that fills the pool", (t) => {
  const site = new LongRunningSite(5, 1, 3, 0, STARTUP_MS);
  site.run(2_000);
  const longRunning = { ...stepOf(1, 900, []), lasting: true };
  const needs = { cpuMilli: 100, memoryMb: 9_000, gpus: 0 };
  site.submit(LONG_RUNNING, "mills", workOf([{ ...longRunning, needs }]), 0);
  site.run(1_000);
  for (let number = 0; number < 300; number += 1) {
    site.schedule(number * 60, () => {
      site.submit(number.toString(16).padStart(16, "f"), "mills", workOf([shortStep(700)]), 0);
    });
  }
  site.run(3_000);
  const [workerId] =
    [...site.workers].find(([, { runs }]) => includesLongRunning([...runs.keys()])) ?? [];
  t.truthy(workerId);
  site.unreachableWorkers.set(workerId ?? "", site.nowMs + 60_000);
  site.run(LEASE_MS + RESTART_MS);
  const starts = site.effects.filter(
    (effect) => effect.type === "worker/start" && effect.item.startsWith(LONG_RUNNING),
  );
  t.is(starts.length, 2);
});

test("a new owner takes hosts with unanswering workers out of service because a maintenance wave is late", (t) => {
  const site = new WorkSite(5, 2, 3, 0, STARTUP_MS);
  site.runDurationMs = 600_000;
  site.run(300);
  const spreadStep = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(LONG_RUNNING, "mills", workOf([spreadStep]), 0);
  site.run(1_000);
  const hosts = [0, 1, 2].map((index) => hostId(`m-mills-${index}`));
  site.kill(
    site.nodes.findIndex(({ state }) => state.work?.owned != null),
    60_000,
  );
  const request = { wave: 1, hosts, durationMs: 1_000, maxHostsOut: 3 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  for (const workerId of site.workers.keys()) {
    site.unreachableWorkers.set(workerId, site.nowMs + 2_500);
  }
  site.run(3_500);
  t.is(site.interruptedRuns, 0);
});
