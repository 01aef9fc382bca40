import test from "ava";
import { WAVE } from "../src/waves/constants.js";
import { TestFleet } from "./fleetHelpers/testFleet.js";
import { createWaveFleet, HOSTS, isWaveDone, rulesOf, wave } from "./fleetHelpers/waveFleet.js";

test("a wave reboots each host once, within the budget, and interrupts no work", (t) => {
  const { fleet, entry, startWave } = createWaveFleet();
  startWave();
  const done = isWaveDone(fleet);
  let notStarted = 0;
  while (!done() && fleet.nowMs < 3_600_000) {
    notStarted += entry.startWork() === null ? 1 : 0;
    fleet.advance(1_000);
    entry.finishWork();
  }
  t.is(notStarted, 0);
  t.is(wave(fleet).status, "done");
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
  t.true(HOSTS.every((name) => fleet.host(name).phase === "inService"));
  t.is(fleet.budget("dies").permits.length, 0);
  t.deepEqual(fleet.violations, []);
});

test("a wave whose hosts fail to come back halts, and continues after a pause", (t) => {
  const options = { maxFailures: 0 };
  const { fleet, startWave } = createWaveFleet(options);
  HOSTS.forEach((name) => fleet.hostsFailingReboot.add(name));
  startWave();
  fleet.advance(1_200_000);
  t.is(wave(fleet).status, "halted");
  t.true(wave(fleet).failed.length <= 2);
  t.true(fleet.nodes.some((node) => node.hasLogged("wave.halted")));
  fleet.hostsFailingReboot.clear();
  fleet.applyRules(rulesOf({ ...options, maxUnavailable: 4, perRack: 2, paused: true }));
  fleet.advance(5_000);
  t.is(wave(fleet).status, "paused");
  fleet.applyRules(rulesOf({ ...options, maxUnavailable: 4, perRack: 2 }));
  t.true(fleet.advanceUntil(isWaveDone(fleet)));
  t.is(wave(fleet).done.length + wave(fleet).failed.length, HOSTS.length);
  t.deepEqual(fleet.violations, []);
});

test("a wave takes no second host out of service in a rack in which an operator drained one", (t) => {
  const { fleet, startWave } = createWaveFleet();
  fleet.drain("dies-1");
  startWave();
  fleet.advance(600_000);
  t.deepEqual([...wave(fleet).done].sort(), ["dies-4", "dies-5", "dies-6"]);
  t.deepEqual(fleet.violations, []);
});

test("a wave stays within the budget when a rack fails during it", (t) => {
  const { fleet, startWave } = createWaveFleet({ maxUnavailable: 3, perRack: 3 });
  startWave();
  t.true(fleet.advanceUntil(() => fleet.reboots.length > 0));
  fleet.unlist("dies-4", "dies-5", "dies-6");
  fleet.advance(600_000);
  const absent = new Set([
    ...fleet.budget("dies").absent.map(({ hostId }) => hostId),
    ...fleet.budget("dies").permits.map(({ hostId }) => hostId),
  ]);
  t.is(absent.size, 3);
  t.is(wave(fleet).status, "running");
  t.deepEqual(fleet.violations, []);
  fleet.addHosts("a", "r2", "dies-4", "dies-5", "dies-6");
  t.true(fleet.advanceUntil(isWaveDone(fleet)));
  t.deepEqual(wave(fleet).failed, []);
  t.deepEqual(fleet.violations, []);
});

test("a committed write whose reply is lost is neither lost nor repeated", (t) => {
  const { fleet, startWave, maintainers } = createWaveFleet();
  startWave();
  const done = isWaveDone(fleet);
  while (!done() && fleet.nowMs < 3_600_000) {
    maintainers.forEach((node) => (node.repliesToLose = 1));
    fleet.advance(5_000);
  }
  t.deepEqual([...wave(fleet).done].sort(), HOSTS);
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
  t.deepEqual(fleet.violations, []);
});

test("an operator's drain counts against the budget of a wave", (t) => {
  const { fleet, startWave } = createWaveFleet({ maxUnavailable: 1 });
  fleet.drain("dies-6");
  startWave();
  fleet.advance(60_000);
  t.is(fleet.reboots.length, 0);
  t.is(fleet.host("dies-6").phase, "stopped");
  t.true(fleet.nodes.some((node) => node.hasLogged("wave.permitRefused")));
});

test("a wave never takes the last host in service of a zone out of service", (t) => {
  const { fleet, startWave } = createWaveFleet({ maxUnavailable: 6, perRack: 6 });
  fleet.unlist("dies-1", "dies-2", "dies-3", "dies-4", "dies-5");
  fleet.advance(60_000);
  startWave();
  fleet.advance(60_000);
  t.is(fleet.host("dies-6").phase, "inService");
});

const rebootsAfter = (afterMs: number): number => {
  const fleet = new TestFleet(rulesOf({ maxUnavailable: 1 }));
  fleet.addHosts("a", "r1", "dies-1", "dies-2", "dies-3");
  fleet.maintainer("m1");
  fleet.advance(afterMs);
  return fleet.reboots.length;
};

const joinDuringWave = (joinAtMs: number): TestFleet => {
  const fleet = new TestFleet(rulesOf({ maxUnavailable: 1 }));
  fleet.addHosts("a", "r1", "dies-1", "dies-2", "dies-3");
  const maintainer = fleet.maintainer("m1");
  fleet.advance(joinAtMs);
  maintainer.dropReads = true;
  const joiningHost = fleet.entry("e1");
  for (let step = 0; step < 100; step += 1) {
    fleet.advance(100);
    joiningHost.startWork();
  }
  return fleet;
};

test("a maintainer whose reads fail stops no host used by an entry host that joins during the wave", (t) => {
  const [firstRebootMs = 0] = Array.from({ length: 100 }, (_, tenths) => tenths * 100).filter(
    (afterMs) => rebootsAfter(afterMs) > 0,
  );
  const backAtMs = firstRebootMs + 60_000;
  for (let joinAtMs = backAtMs - 4_000; joinAtMs < backAtMs + 2_000; joinAtMs += 100) {
    t.deepEqual(joinDuringWave(joinAtMs).violations, [], `joined after ${joinAtMs} ms`);
  }
});

test("a wave waits a day for hosts that are absent unplanned, then records them as failed", (t) => {
  const { fleet, startWave } = createWaveFleet({ maxUnavailable: 3, perRack: 2 });
  fleet.unlist("dies-6");
  fleet.advance(60_000);
  startWave();
  fleet.advance(1_200_000);
  t.is(wave(fleet).status, "running");
  t.is(wave(fleet).done.length, 5);
  fleet.tickMs = 4_000;
  t.true(fleet.advanceUntil(isWaveDone(fleet), WAVE.MAX_ABSENT_WAIT_MS + 60_000));
  t.deepEqual(wave(fleet).failed, ["dies-6"]);
});
