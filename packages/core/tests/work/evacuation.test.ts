import { hostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion } from "../../src/index.js";
import {
  EVACUATION_MS,
  EvacuationSite,
  FEED_LATENCY_MS,
  LONG_RUNNING,
  ZONES,
} from "./evacuationSite.js";
import { stepOf, workOf } from "./workSpecs.js";

test("work starts in a zone after its evacuation was requested", (t) => {
  const site = new EvacuationSite(1);
  site.run(2_000);
  site.submitEvery(40, 10_000);
  site.run(1_000);
  t.true(site.startsIn("b") > 0);
  site.evacuate("b");
  site.run(FEED_LATENCY_MS);
  const startsBefore = site.startsIn("b");
  const startsElsewhere = site.startsIn("a") + site.startsIn("c");
  site.run(4_000);
  t.is(site.startsIn("b"), startsBefore);
  t.is(site.runsIn("b"), 0);
  t.true(site.startsIn("a") + site.startsIn("c") > startsElsewhere + 50);
});

test("a zone stays closed after its request was removed", (t) => {
  const site = new EvacuationSite(2);
  site.run(2_000);
  site.submitEvery(25, 14_000);
  site.evacuate("b");
  site.run(4_000);
  const startsBefore = site.startsIn("b");
  site.takeBack("b");
  site.run(4_000);
  t.true(site.startsIn("b") > startsBefore);
});

test("work starts in a zone whose request was removed and made again at once", (t) => {
  const site = new EvacuationSite(3);
  site.run(2_000);
  site.submitEvery(40, 10_000);
  site.evacuate("b");
  site.run(1_000);
  site.takeBack("b");
  site.schedule(1, () => {
    site.evacuate("b");
  });
  site.run(FEED_LATENCY_MS);
  const startsBefore = site.startsIn("b");
  site.run(4_000);
  t.is(site.startsIn("b"), startsBefore);
});

test("the next owner starts work in a zone whose evacuation the previous one did not survive", (t) => {
  const site = new EvacuationSite(4, 3);
  site.run(2_000);
  site.submitEvery(40, 14_000);
  site.run(1_000);
  site.kill(site.ownerIndex(), 30_000);
  site.evacuate("b");
  const startsBefore = site.startsIn("b");
  site.run(6_000);
  t.is(site.startsIn("b"), startsBefore);
  t.true(site.ownerIndex() >= 0);
  t.true(site.startsIn("a") > 0);
});

test("a request is forgotten, or one is invented, when the store has lost its history", (t) => {
  const site = new EvacuationSite(5);
  site.run(2_000);
  site.submitEvery(40, 20_000);
  site.evacuate("b");
  site.run(1_000);
  site.feedDownUntilMs.operators = site.nowMs + 1_500;
  site.evacuate("c");
  site.takeBack("b");
  site.store.historyLostUpTo = site.store.version;
  const startsBefore = site.startsIn("b");
  site.run(2_000);
  const startsInC = site.startsIn("c");
  site.run(4_000);
  t.is(site.startsIn("c"), startsInC);
  t.true(site.startsIn("b") > startsBefore);
});

test("an owner without a recent view of the requests starts work", (t) => {
  const site = new EvacuationSite(6);
  site.run(2_000);
  site.submitEvery(40, 20_000);
  site.run(1_000);
  site.feedDownUntilMs.operators = site.nowMs + 5_000;
  site.evacuate("b");
  site.run(EVACUATION_MS);
  const starts = site.starts;
  site.run(3_000);
  t.is(site.starts, starts);
  site.run(2_000);
  t.true(site.starts > starts);
});

test("what was last known of the requests is lost while the store is away", (t) => {
  const site = new EvacuationSite(7);
  site.run(2_000);
  site.submitEvery(40, 20_000);
  site.evacuate("b");
  site.run(2_000);
  const startsBefore = site.startsIn("b");
  site.storeDownUntilMs = site.nowMs + 3_000;
  site.run(8_000);
  t.is(site.startsIn("b"), startsBefore);
});

test("a node without a bound for evacuations stops starts because its view is old", (t) => {
  const site = new EvacuationSite(8);
  for (const { state } of site.nodes) {
    if (state.work !== null) {
      state.work.bounds = { ...state.work.bounds, evacuationMs: null };
    }
  }
  site.run(2_000);
  site.submitEvery(40, 20_000);
  site.feedDownUntilMs.operators = site.nowMs + 20_000;
  site.run(EVACUATION_MS);
  const { starts } = site;
  site.run(1_000);
  t.true(site.starts > starts);
});

test("a request for a zone that does not exist stops work elsewhere", (t) => {
  const site = new EvacuationSite(9);
  site.run(2_000);
  site.submitEvery(40, 20_000);
  site.evacuate("nowhere");
  site.run(2_000);
  t.true(site.starts >= 30);
  const [line] = site.logged("evacuation.requested").filter(({ workers }) => workers !== null);
  t.is(line?.workers, 0);
  t.is(site.reportOn("nowhere")?.state, "emptied");
});

test("the evacuation of all zones stops what runs, or its end leaves work waiting", (t) => {
  const site = new EvacuationSite(10);
  site.run(2_000);
  const lasting = { ...stepOf(3, 900, []), lasting: true, maxUnavailable: 1 };
  site.submit(LONG_RUNNING, "mills", workOf([lasting]), 0);
  site.run(1_500);
  site.submitEvery(100, 2_000);
  for (const zone of ["a", "b", "c"]) {
    site.evacuate(zone);
  }
  site.run(FEED_LATENCY_MS);
  const { starts } = site;
  site.run(4_000);
  t.is(site.starts, starts);
  t.is(site.effects.filter(({ type }) => type === "worker/stop").length, 0);
  t.is(site.longRunningOutside(""), 3);
  t.true(["a", "b", "c"].some((zone) => (site.reportOn(zone)?.unplacedRuns ?? 0) > 0));
  for (const zone of ["a", "b", "c"]) {
    site.takeBack(zone);
  }
  site.run(4_000);
  t.true(site.starts >= starts + 15);
});

test("long-running work leaves an evacuated zone all at once", (t) => {
  const site = new EvacuationSite(11);
  site.run(2_000);
  const spread = {
    ...stepOf(6, 900, []),
    lasting: true,
    maxPerWorker: 1,
    maxUnavailable: 1,
  };
  const spareRoom = { ...spread, maxPerWorker: 2 };
  site.submit(LONG_RUNNING, "mills", workOf([spareRoom]), 0);
  site.run(3_000);
  const before = site.runsIn("b");
  t.true(before > 0);
  site.evacuate("b");
  let leastAtWork = 6;
  for (let waitedMs = 0; waitedMs < 8_000; waitedMs += 20) {
    site.run(20);
    const running = [...site.workers.values()].flatMap(({ runs }) =>
      [...runs.values()].filter(({ stopsAtMs }) => stopsAtMs === null),
    ).length;
    leastAtWork = Math.min(leastAtWork, running);
  }
  t.is(leastAtWork, 5);
  t.is(site.longRunningOutside("b"), 6);
  t.is(site.reportOn("b")?.state, "emptied");
});

test("long-running work is stopped although no other zone has room for it", (t) => {
  const site = new EvacuationSite(12, 2, 3);
  site.run(2_000);
  const onEach = { ...stepOf(3, 900, []), lasting: true, maxPerWorker: 1, maxUnavailable: 1 };
  site.submit(LONG_RUNNING, "mills", workOf([onEach]), 0);
  site.run(2_000);
  for (const host of site.hosts.keys()) {
    site.hostsLosingOrders.add(host);
  }
  site.evacuate("b");
  site.run(5_000);
  t.is(site.effects.filter(({ type }) => type === "worker/stop").length, 0);
  t.is(site.longRunningOutside("b"), 2);
  t.is(site.reportOn("b")?.unplacedRuns, 1);
  t.is(site.reportOn("b")?.state, "emptying");
});

test("other zones get hosts only after an evacuated zone is empty", (t) => {
  const site = new EvacuationSite(13, 2, 3, 6, null);
  site.runDurationMs = 30_000;
  site.run(2_000);
  site.submit("00000000000000b0", "mills", workOf([stepOf(9, 1_200, [])]), 0);
  site.run(12_000);
  const busyZone = ZONES.find((zone) => site.runsIn(zone) > 0) ?? ZONES[0];
  const runsBefore = site.runsIn(busyZone);
  t.true(runsBefore > 0);
  const hostsOfPool = (): number =>
    [...site.hosts.values()].filter(({ pool }) => pool === "mills").length;
  const hostsBefore = hostsOfPool();
  site.run(1_000);
  t.is(hostsOfPool(), hostsBefore);
  site.evacuate(busyZone);
  site.run(2_000);
  t.is(site.runsIn(busyZone), runsBefore);
  t.true(hostsOfPool() > hostsBefore);
});

test("hosts of an evacuated zone are turned on, off or moved", (t) => {
  const site = new EvacuationSite(14, 2, 3, 6);
  site.run(2_000);
  site.evacuate("b");
  site.run(FEED_LATENCY_MS);
  const moves = (): number =>
    site.effects.filter(
      (effect) => effect.type === "power/move" && site.zoneOfListedHost(effect.host) === "b",
    ).length;
  const movesBefore = moves();
  site.submitEvery(8, 6_000, 1_200);
  site.run(6_000);
  t.is(moves(), movesBefore);
  t.true(site.effects.some(({ type }) => type === "power/move"));
});

test("a maintenance wave on the hosts of an evacuated zone does not end", (t) => {
  const site = new EvacuationSite(15);
  site.run(2_000);
  site.submitEvery(60, 30_000);
  const inB = [...site.workers.values()].filter(
    ({ report }) => report.availabilityZone === "b" && report.pool === "mills",
  );
  const hosts = inB.map(({ report }) => report.host ?? hostId(""));
  t.true(hosts.length > 0);
  site.evacuate("b");
  const request = { wave: 1, hosts, durationMs: 12_000, maxHostsOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  site.run(FEED_LATENCY_MS);
  const startsBefore = site.startsIn("b");
  site.run(14_000);
  t.true(hosts.every((host) => site.hosts.get(host)?.maintenances === 1));
  t.is(site.startsIn("b"), startsBefore);
});

test("a report on an evacuation outlives its request when the owner changes", (t) => {
  const site = new EvacuationSite(16, 3);
  site.run(2_000);
  site.evacuate("b");
  site.run(2_500);
  const first = site.reportOn("b");
  t.is(first?.state, "emptied");
  site.kill(site.ownerIndex(), 30_000);
  site.run(5_000);
  t.is(site.reportOn("b")?.sinceWallMs, first?.sinceWallMs);
  site.kill(site.ownerIndex(), 30_000);
  site.takeBack("b");
  site.run(6_000);
  t.is(site.reportOn("b")?.state, "ended");
});

test("an operator does not learn of an evacuation from the log", (t) => {
  const site = new EvacuationSite(17, 1);
  site.run(2_000);
  site.submitEvery(40, 2_000);
  site.run(1_000);
  site.evacuate("b");
  site.run(4_000);
  site.takeBack("b");
  site.run(2_000);
  const [requested] = site.logged("evacuation.requested");
  t.is(requested?.zone, "b");
  t.is(requested?.boundMs, EVACUATION_MS);
  t.true(Number(requested?.lagAtMostMs) < EVACUATION_MS);
  t.is(site.logged("evacuation.emptied").length, 1);
  t.is(site.logged("evacuation.removed").length, 1);
  t.is(site.logged("evacuation.ended").length, 1);
});
