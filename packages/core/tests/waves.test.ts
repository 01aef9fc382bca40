import test from "ava";
import { FLEET, MAINTAINER_LEASE } from "../src/fleet/constants.js";
import { WAVE } from "../src/waves/constants.js";
import { TestFleet } from "./fleetHelpers/testFleet.js";

interface WaveOptions {
  readonly maxUnavailable?: number;
  readonly perRack?: number;
  readonly maxFailures?: number;
  readonly paused?: boolean;
}

const rulesOf = (options: WaveOptions, withWave = true): string => {
  const { maxUnavailable = 2, perRack = 1, maxFailures = 0, paused = false } = options;
  const wave = `wave spring pool=dies max-failures=${maxFailures} paused=${paused ? "yes" : "no"}`;
  return [
    "team lots share=1 limit=100 # asked by San Vicente",
    `pool dies hosts=dies-* max-unavailable=${maxUnavailable} max-unavailable-per-rack=${perRack} # asked by lots`,
    "queue open pool=dies open=yes team=lots timeout-ms=60000 # asked by lots",
    ...(withWave ? [`${wave} # asked by San Vicente`] : []),
  ].join("\n");
};

const HOSTS = ["dies-1", "dies-2", "dies-3", "dies-4", "dies-5", "dies-6"];

const fleetWith = (options: WaveOptions = {}) => {
  const fleet = new TestFleet(rulesOf(options, false));
  fleet.addHosts("a", "r1", "dies-1", "dies-2", "dies-3");
  fleet.addHosts("a", "r2", "dies-4", "dies-5", "dies-6");
  const entry = fleet.entry("e1");
  const maintainers = [fleet.maintainer("e1"), fleet.maintainer("e2")];
  fleet.advance(10_000);
  const startWave = (): void => {
    fleet.applyRules(rulesOf(options));
  };
  return { fleet, entry, maintainers, startWave };
};

const wave = (fleet: TestFleet) => fleet.table.body("wave/spring", "wave");

const holder = (fleet: TestFleet, pool = "dies") => {
  const { incarnation } = fleet.table.body(`lease/${pool}`, "maintainerLease");
  const found = fleet.nodes.find(({ state }) => state.node.identity.incarnation === incarnation);
  if (found === undefined) {
    throw new Error(`Nobody holds the lease of ${pool}`);
  }
  return found;
};

const isDone = (fleet: TestFleet) => (): boolean =>
  [...fleet.table.rows.values()].some(({ body }) => body.type === "wave" && body.status === "done");

test("a wave reboots each host once, within the budget, and cuts off no work", (t) => {
  const { fleet, entry, startWave } = fleetWith();
  startWave();
  const done = isDone(fleet);
  let cut = 0;
  while (!done() && fleet.nowMs < 3_600_000) {
    cut += entry.startWork() === null ? 1 : 0;
    fleet.advance(1_000);
    entry.finishWork();
  }
  t.is(cut, 0);
  t.is(wave(fleet).status, "done");
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
  t.true(HOSTS.every((name) => fleet.host(name).phase === "inService"));
  t.is(fleet.budget("dies").permits.length, 0);
  t.deepEqual(fleet.violations, []);
});

test("a wave whose hosts fail to come back halts itself, and a pause lets it go on", (t) => {
  const options = { maxFailures: 0 };
  const { fleet, startWave } = fleetWith(options);
  HOSTS.forEach((name) => fleet.broken.add(name));
  startWave();
  fleet.advance(1_200_000);
  t.is(wave(fleet).status, "halted");
  t.true(wave(fleet).failed.length <= 2);
  t.true(fleet.nodes.some((node) => node.logged("wave.halted")));
  fleet.broken.clear();
  fleet.applyRules(rulesOf({ ...options, maxUnavailable: 4, perRack: 2, paused: true }));
  fleet.advance(5_000);
  t.is(wave(fleet).status, "paused");
  fleet.applyRules(rulesOf({ ...options, maxUnavailable: 4, perRack: 2 }));
  t.true(fleet.advanceUntil(isDone(fleet)));
  t.is(wave(fleet).done.length + wave(fleet).failed.length, HOSTS.length);
  t.deepEqual(fleet.violations, []);
});

test("a wave carries on after the death of its maintainer in mid-reboot", (t) => {
  const { fleet, startWave } = fleetWith();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.reboots.length > 0));
  const dead = holder(fleet);
  fleet.kill(dead);
  t.true(fleet.advanceUntil(isDone(fleet)));
  t.deepEqual(wave(fleet).failed, []);
  t.deepEqual([...wave(fleet).done].sort(), HOSTS);
  t.deepEqual(fleet.violations, []);
});

test("a host whose order an earlier holder gave is kept out until that order has settled", (t) => {
  const { fleet, startWave } = fleetWith();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.reboots.length > 0));
  const [first = ""] = fleet.reboots;
  fleet.kill(holder(fleet));
  const diedAtMs = fleet.nowMs;
  t.true(fleet.advanceUntil(() => fleet.host(first).phase === "inService"));
  t.true(fleet.nowMs - diedAtMs >= FLEET.ORDER_SETTLE_MS);
});

test("a maintainer that wakes with an old lease writes and orders nothing", (t) => {
  const { fleet, startWave } = fleetWith();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "leaving"));
  const old = holder(fleet);
  old.paused = true;
  t.true(fleet.advanceUntil(() => holder(fleet) !== old, 60_000));
  const pausedForMs = MAINTAINER_LEASE.TERM_MS + MAINTAINER_LEASE.SKEW_MS;
  fleet.advance(pausedForMs);
  const sent = old.effects.length;
  fleet.resume(old);
  fleet.advance(1_000);
  const after = old.effects.slice(sent);
  t.false(after.some(({ type }) => type === "host/reboot"));
  const writeIds = after.flatMap((effect) =>
    effect.type === "table/write" ? [effect.write.writeId] : [],
  );
  const tookEffect = [...fleet.table.rows.values()].flatMap((row) => row.writeIds);
  t.false(writeIds.some((id) => tookEffect.includes(id)));
  t.true(fleet.advanceUntil(isDone(fleet)));
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
  t.deepEqual(fleet.violations, []);
});

test("a stop sent under a lease that was lost on the way changes nothing", (t) => {
  const { fleet, startWave, entry, maintainers } = fleetWith();
  entry.cutOff = true;
  startWave();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "leaving"));
  const old = holder(fleet);
  entry.cutOff = false;
  const acknowledged = () => fleet.table.body("member/a/e1", "member").drained.length > 0;
  t.true(fleet.advanceUntil(acknowledged));
  old.delayWritesMs = 2 * (MAINTAINER_LEASE.TERM_MS + MAINTAINER_LEASE.SKEW_MS);
  t.true(fleet.advanceUntil(() => old.logged("host.stopOrdered"), 10_000));
  old.paused = true;
  const successors = maintainers.filter((node) => node !== old);
  fleet.table.onCommit = (_before, after) => {
    const taken = after.some(({ body }) => body.type === "maintainerLease" && body.pool === "dies");
    successors.forEach((node) => (node.paused ||= taken));
  };
  fleet.advance(2 * old.delayWritesMs);
  t.not(holder(fleet), old);
  t.is(fleet.host("dies-1").phase, "leaving");
  t.deepEqual(fleet.reboots, []);
});

test("a maintainer paused while its stop took effect does not reboot the host on waking", (t) => {
  const { fleet, startWave } = fleetWith();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "leaving"));
  const old = holder(fleet);
  const check = fleet.table.onCommit;
  fleet.table.onCommit = (before, after) => {
    check(before, after);
    old.paused ||= after.some(({ body }) => body.type === "host" && body.phase === "stopped");
  };
  t.true(fleet.advanceUntil(() => holder(fleet) !== old, 60_000));
  fleet.table.onCommit = check;
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "inService"));
  fleet.resume(old);
  t.false(old.effects.some(({ type }) => type === "host/reboot"));
  t.deepEqual(fleet.violations, []);
});

test("a wave takes no second host out of a rack in which an operator drained one", (t) => {
  const { fleet, startWave } = fleetWith();
  fleet.drain("dies-1");
  startWave();
  fleet.advance(600_000);
  t.deepEqual([...wave(fleet).done].sort(), ["dies-4", "dies-5", "dies-6"]);
  t.deepEqual(fleet.violations, []);
});

test("two maintainers that see one wave never work on it at once", (t) => {
  const { fleet, startWave, maintainers } = fleetWith();
  startWave();
  const done = isDone(fleet);
  while (!done() && fleet.nowMs < 3_600_000) {
    fleet.advance(100);
    const holding = maintainers.filter(({ state }) =>
      [...state.fleet.leases].some(
        ([pool, { untilMs }]) => pool === "dies" && untilMs > fleet.nowMs,
      ),
    );
    t.true(holding.length <= 1);
  }
  t.true(done());
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
});

test("the budget holds when a rack is lost unplanned in mid-wave", (t) => {
  const { fleet, startWave } = fleetWith({ maxUnavailable: 3, perRack: 3 });
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
  t.true(fleet.advanceUntil(isDone(fleet)));
  t.deepEqual(wave(fleet).failed, []);
  t.deepEqual(fleet.violations, []);
});

test("a write whose reply is lost after it took effect is neither lost nor done twice", (t) => {
  const { fleet, startWave, maintainers } = fleetWith();
  startWave();
  const done = isDone(fleet);
  while (!done() && fleet.nowMs < 3_600_000) {
    maintainers.forEach((node) => (node.loseReplies = 1));
    fleet.advance(5_000);
  }
  t.deepEqual([...wave(fleet).done].sort(), HOSTS);
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
  t.deepEqual(fleet.violations, []);
});

test("an operator's drain in mid-wave counts against the same budget", (t) => {
  const { fleet, startWave } = fleetWith({ maxUnavailable: 1 });
  fleet.drain("dies-6");
  startWave();
  fleet.advance(60_000);
  t.is(fleet.reboots.length, 0);
  t.is(fleet.host("dies-6").phase, "stopped");
  t.true(fleet.nodes.some((node) => node.logged("wave.permitRefused")));
});

test("the last host in service of a zone is never taken out", (t) => {
  const { fleet, startWave } = fleetWith({ maxUnavailable: 6, perRack: 6 });
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
  const late = fleet.entry("e1");
  for (let step = 0; step < 100; step += 1) {
    fleet.advance(100);
    late.startWork();
  }
  return fleet;
};

test("an entry host that joins at any moment of a wave is seen before the next stop, though reads fail", (t) => {
  const [firstRebootMs = 0] = Array.from({ length: 100 }, (_, tenths) => tenths * 100).filter(
    (afterMs) => rebootsAfter(afterMs) > 0,
  );
  const backAtMs = firstRebootMs + 60_000;
  for (let joinAtMs = backAtMs - 4_000; joinAtMs < backAtMs + 2_000; joinAtMs += 100) {
    t.deepEqual(joinDuringWave(joinAtMs).violations, [], `joined after ${joinAtMs} ms`);
  }
});

test("a wave waits a day for hosts that are down of themselves, then names them as failed", (t) => {
  const { fleet, startWave } = fleetWith({ maxUnavailable: 3, perRack: 2 });
  fleet.unlist("dies-6");
  fleet.advance(60_000);
  startWave();
  fleet.advance(1_200_000);
  t.is(wave(fleet).status, "running");
  t.is(wave(fleet).done.length, 5);
  fleet.tickMs = 4_000;
  t.true(fleet.advanceUntil(isDone(fleet), WAVE.DOWN_WAIT_MS + 60_000));
  t.deepEqual(wave(fleet).failed, ["dies-6"]);
});

test("a maintainer that shuts down gives its leases back at once", (t) => {
  const { fleet } = fleetWith();
  const leaving = holder(fleet);
  fleet.handle(leaving, { type: "node/shutdownRequested" });
  fleet.advance(500);
  t.true(leaving.effects.some(({ type }) => type === "node/exit"));
  t.true(fleet.table.body("lease/dies", "maintainerLease").released);
  fleet.kill(leaving);
  t.true(
    fleet.advanceUntil(() => !fleet.table.body("lease/dies", "maintainerLease").released, 8_000),
  );
});
