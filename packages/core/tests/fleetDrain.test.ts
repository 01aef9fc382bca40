import test from "ava";
import { ENTRY_HOST_IDLE_AFTER_MS } from "../src/fleet/hostStops.js";
import { TestFleet } from "./fleetHelpers/testFleet.js";

const RULES = [
  "team lots share=1 limit=100 # asked by San Vicente",
  "pool dies hosts=dies-* max-unavailable=2 max-unavailable-per-rack=1 # asked by San Vicente",
  "queue open pool=dies open=yes team=lots timeout-ms=60000 # asked by San Vicente",
].join("\n");

const HOSTS = ["dies-1", "dies-2", "dies-3"];

const fleetWithTwoEntryHosts = () => {
  const fleet = new TestFleet(RULES);
  fleet.addHosts("a", "r1", "dies-1", "dies-3");
  fleet.addHosts("a", "r2", "dies-2");
  const first = fleet.entry("e1");
  const second = fleet.entry("e2");
  const maintainer = fleet.maintainer("e1");
  const haveRows = fleet.advanceUntil(() => HOSTS.every((name) => fleet.hasHostRow(name)));
  if (!haveRows) {
    throw new Error("Not all hosts have rows; check that the pool's glob matches their names");
  }
  fleet.advance(5_000);
  return { fleet, first, second, maintainer };
};

/** Starts one request for each host. */
const startWorkForEachHost = (node: ReturnType<TestFleet["entry"]>): void => {
  HOSTS.forEach(() => node.startWork());
};

test("a host with work in flight is stopped only after the work has ended", (t) => {
  const { fleet, first } = fleetWithTwoEntryHosts();
  startWorkForEachHost(first);
  t.true(first.hasWorkOn("dies-1"));
  fleet.drain("dies-1");
  fleet.advance(60_000);
  t.is(fleet.host("dies-1").phase, "leaving");
  first.finishWork();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 10_000));
  t.deepEqual(fleet.violations, []);
});

test("a draining host gets no new work from any entry host after a few seconds", (t) => {
  const { fleet, first, second } = fleetWithTwoEntryHosts();
  fleet.drain("dies-1");
  fleet.advance(3_000);
  for (const node of [first, second]) {
    const hosts = Array.from({ length: 6 }, () => node.startWork());
    t.false(hosts.some((host) => host === "dies-1"));
    t.true(hosts.some((host) => host === "dies-2"));
  }
});

test("a disconnected entry host delays the stop for as long as its host view may be valid", (t) => {
  const { fleet, first, second } = fleetWithTwoEntryHosts();
  startWorkForEachHost(first);
  first.disconnected = true;
  fleet.drain("dies-1");
  fleet.advance(60_000);
  t.is(fleet.host("dies-1").phase, "leaving");
  t.true(second.state.fleet.hosts.size > 0);
  first.finishWork();
  first.startWork();
  fleet.advance(60_000);
  t.is(fleet.host("dies-1").phase, "leaving");
  first.finishWork();
  first.disconnected = false;
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 15_000));
  t.deepEqual(fleet.violations, []);
});

test("a killed entry host delays a stop until its host view must have expired", (t) => {
  const { fleet, second } = fleetWithTwoEntryHosts();
  fleet.kill(second);
  fleet.drain("dies-1");
  fleet.tickMs = 4_000;
  fleet.advance(3_600_000);
  t.is(fleet.host("dies-1").phase, "leaving");
  const isStopped = () => fleet.host("dies-1").phase === "stopped";
  t.true(fleet.advanceUntil(isStopped, ENTRY_HOST_IDLE_AFTER_MS));
});

test("an entry host restarted under its id ends the delay of a drain by its previous incarnation", (t) => {
  const { fleet, second } = fleetWithTwoEntryHosts();
  fleet.kill(second);
  fleet.drain("dies-1");
  fleet.advance(30_000);
  t.is(fleet.host("dies-1").phase, "leaving");
  fleet.entry("e2");
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 15_000));
});

test("a drain waits for an entry host paused during it, which starts no work there on resuming", (t) => {
  const { fleet, first } = fleetWithTwoEntryHosts();
  startWorkForEachHost(first);
  first.paused = true;
  fleet.drain("dies-1");
  fleet.advance(600_000);
  t.is(fleet.host("dies-1").phase, "leaving");
  fleet.resume(first);
  first.finishWork();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 15_000));
  t.deepEqual(fleet.violations, []);
});

test("an entry host that joins after a drain began must read the drain before it starts work", (t) => {
  const { fleet } = fleetWithTwoEntryHosts();
  fleet.drain("dies-1");
  const late = fleet.entry("e3");
  fleet.advance(100);
  late.disconnected = true;
  fleet.advance(2_000);
  t.is(late.startWork(), null);
  fleet.advance(30_000);
  t.not(late.startWork(), "dies-1");
  t.deepEqual(fleet.violations, []);
});

test("an entry host whose heartbeats were never committed starts no work", (t) => {
  const { fleet } = fleetWithTwoEntryHosts();
  const unregistered = fleet.entry("e4");
  unregistered.dropWrites = true;
  fleet.advance(10_000);
  t.true(unregistered.state.fleet.hosts.size > 0);
  t.is(unregistered.startWork(), null);
});

test("an entry host whose host view has expired starts no work", (t) => {
  const { fleet, first } = fleetWithTwoEntryHosts();
  t.truthy(first.startWork());
  first.disconnected = true;
  fleet.advance(1_000);
  t.truthy(first.startWork());
  first.expireHostView();
  t.is(first.startWork(), null);
});

test("a host list that still shows a stopped host as live does not put it back in service", (t) => {
  const { fleet } = fleetWithTwoEntryHosts();
  fleet.drain("dies-1");
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 15_000));
  fleet.advance(120_000);
  t.is(fleet.host("dies-1").phase, "stopped");
});

test("a host whose stop is committed but not acknowledged is stopped once and stays stopped", (t) => {
  const { fleet, maintainer } = fleetWithTwoEntryHosts();
  maintainer.repliesToLose = 2;
  fleet.drain("dies-1");
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 30_000));
  t.is(fleet.host("dies-1").drainEpoch, 1);
  t.is(fleet.reboots.length, 0);
});

test("a host that the platform withdraws is drained, and returns to service when live again", (t) => {
  const { fleet } = fleetWithTwoEntryHosts();
  fleet.setListedState("dies-1", "leaving");
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "stopped", 30_000));
  t.is(fleet.host("dies-1").drainReason, "platform");
  fleet.advance(60_000);
  fleet.setListedState("dies-1", "live");
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "inService", 60_000));
  t.is(fleet.budget("dies").absent.length, 0);
});

test("a host listed in a second zone, or matching no pool, gets no row there", (t) => {
  const { fleet, maintainer } = fleetWithTwoEntryHosts();
  fleet.addHosts("b", "r9", "dies-1", "strange-1");
  fleet.advance(30_000);
  t.false(fleet.hasHostRow("dies-1", "b"));
  t.false(fleet.hasHostRow("strange-1", "b"));
  t.true(maintainer.hasLogged("host.noMatchingPool"));
  t.deepEqual(fleet.violations, []);
});
