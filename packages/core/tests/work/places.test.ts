import { hostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, type StepSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const LASTING = "00000000000000aa";

const STARTUP_MS = 200;

/** Callers whose work lasts wait no longer than this for an item that ended to run again. */
const RESTART_MS = 6_000;

const stopsOf = (site: WorkSite): number =>
  site.effects.filter(({ type }) => type === "worker/stop").length;

/** Until a worker that was cut off runs nothing any more. */
const LEASE_MS = 4_300;

const holdsLasting = (items: readonly string[]): boolean =>
  items.some((item) => item.startsWith(LASTING));

const runsLasting = (site: WorkSite): boolean =>
  [...site.workers.values()].some(({ runs }) => holdsLasting([...runs.keys()]));

test("a wave stops lasting work for which no other worker has room", (t) => {
  const site = new WorkSite(5, 1, 3, 0, STARTUP_MS);
  site.workMs = 600_000;
  site.run(300);
  const spread = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(LASTING, "mills", workOf([spread]), 0);
  site.run(1_000);
  for (const host of site.hosts.keys()) {
    site.lostOrders.add(host);
  }
  const due = hostId("m-mills-0");
  const request = { wave: 1, hosts: [due], durationMs: 20_000, mostOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  site.run(3_500);
  t.is(stopsOf(site), 0);
  site.lostOrders.clear();
  site.run(20_000);
  t.is(site.hosts.get(due)?.upkeeps, 1);
});

test("a wave moves lasting work on as soon as another worker has room for it", (t) => {
  const site = new WorkSite(5, 1, 3, 0, STARTUP_MS);
  site.workMs = 600_000;
  site.run(2_000);
  const one = { ...stepOf(1, 900, []), lasting: true, maxUnavailable: 1 };
  site.submit(LASTING, "mills", workOf([one]), 0);
  site.run(1_000);
  const busy = [...site.workers.values()].find(({ runs }) => runs.size > 0)?.report.host;
  const request = { wave: 1, hosts: [busy ?? hostId("")], durationMs: 18_000, mostOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  site.run(1_500);
  t.is(stopsOf(site), 1);
  t.true(runsLasting(site));
});

/** Short items of which three fit on a worker, and end at different times. */
const short = (ms: number): StepSpec => ({
  ...stepOf(1, ms, []),
  needs: { cpuMilli: 100, memoryMb: 3_000, gpus: 0 },
});

test("lasting work that lost its worker waits behind short work that fills the pool", (t) => {
  const site = new WorkSite(5, 1, 3, 0, STARTUP_MS);
  site.run(2_000);
  const large = { ...stepOf(1, 900, []), lasting: true };
  const needs = { cpuMilli: 100, memoryMb: 9_000, gpus: 0 };
  site.workMs = 600_000;
  site.submit(LASTING, "mills", workOf([{ ...large, needs }]), 0);
  site.run(1_000);
  site.workMs = null;
  for (let number = 0; number < 300; number += 1) {
    site.at(number * 60, () => {
      site.submit(number.toString(16).padStart(16, "0"), "mills", workOf([short(700)]), 0);
    });
  }
  site.run(3_000);
  const [name] = [...site.workers].find(([, { runs }]) => holdsLasting([...runs.keys()])) ?? [];
  t.truthy(name);
  site.cutWorkers.set(name ?? "", site.nowMs + 60_000);
  site.run(LEASE_MS + RESTART_MS);
  const starts = site.effects.filter(
    (effect) => effect.type === "worker/start" && effect.item.startsWith(LASTING),
  );
  t.is(starts.length, 2);
});

test("a new owner takes hosts down whose workers it has not heard, since a wave is late", (t) => {
  const site = new WorkSite(5, 2, 3, 0, STARTUP_MS);
  site.workMs = 600_000;
  site.run(300);
  const spread = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(LASTING, "mills", workOf([spread]), 0);
  site.run(1_000);
  const hosts = [0, 1, 2].map((index) => hostId(`m-mills-${index}`));
  site.kill(
    site.nodes.findIndex(({ state }) => state.work?.owned != null),
    60_000,
  );
  const request = { wave: 1, hosts, durationMs: 1_000, mostOut: 3 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  for (const name of site.workers.keys()) {
    site.cutWorkers.set(name, site.nowMs + 2_500);
  }
  site.run(3_500);
  t.is(site.runsCutOff, 0);
});
