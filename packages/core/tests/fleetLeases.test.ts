import test from "ava";
import { FLEET, MAINTAINER_LEASE } from "../src/fleet/constants.js";
import { fleetWith, HOSTS, holder, isDone, wave } from "./fleetHelpers/waveFleet.js";

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
