import test from "ava";
import { FLEET, MAINTAINER_LEASE } from "../src/fleet/constants.js";
import { createWaveFleet, HOSTS, leaseHolder, isWaveDone, wave } from "./fleetHelpers/waveFleet.js";

test("a wave continues after its maintainer is killed during a reboot", (t) => {
  const { fleet, startWave } = createWaveFleet();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.reboots.length > 0));
  const killed = leaseHolder(fleet);
  fleet.kill(killed);
  t.true(fleet.advanceUntil(isWaveDone(fleet)));
  t.deepEqual(wave(fleet).failed, []);
  t.deepEqual([...wave(fleet).done].sort(), HOSTS);
  t.deepEqual(fleet.violations, []);
});

test("a host stays out of service while an order of the previous lease holder may still reach it", (t) => {
  const { fleet, startWave } = createWaveFleet();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.reboots.length > 0));
  const [first = ""] = fleet.reboots;
  fleet.kill(leaseHolder(fleet));
  const killedAtMs = fleet.nowMs;
  t.true(fleet.advanceUntil(() => fleet.host(first).phase === "inService"));
  t.true(fleet.nowMs - killedAtMs >= FLEET.MAX_ORDER_DELAY_MS);
});

test("a maintainer that resumes with an expired lease commits no write and orders no reboot", (t) => {
  const { fleet, startWave } = createWaveFleet();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "leaving"));
  const previousHolder = leaseHolder(fleet);
  previousHolder.paused = true;
  t.true(fleet.advanceUntil(() => leaseHolder(fleet) !== previousHolder, 60_000));
  const pausedForMs = MAINTAINER_LEASE.TERM_MS + MAINTAINER_LEASE.MAX_CLOCK_SKEW_MS;
  fleet.advance(pausedForMs);
  const sentCount = previousHolder.effects.length;
  fleet.resume(previousHolder);
  fleet.advance(1_000);
  const after = previousHolder.effects.slice(sentCount);
  t.false(after.some(({ type }) => type === "host/reboot"));
  const writeIds = after.flatMap((effect) =>
    effect.type === "table/write" ? [effect.write.writeId] : [],
  );
  const committedIds = [...fleet.table.rows.values()].flatMap((row) => row.writeIds);
  t.false(writeIds.some((id) => committedIds.includes(id)));
  t.true(fleet.advanceUntil(isWaveDone(fleet)));
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
  t.deepEqual(fleet.violations, []);
});

test("a stop written under a lease that is lost before the write arrives changes nothing", (t) => {
  const { fleet, startWave, entry, maintainers } = createWaveFleet();
  entry.disconnected = true;
  startWave();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "leaving"));
  const previousHolder = leaseHolder(fleet);
  entry.disconnected = false;
  const acknowledged = () => fleet.table.body("member/a/e1", "member").drained.length > 0;
  t.true(fleet.advanceUntil(acknowledged));
  previousHolder.writeDelayMs = 2 * (MAINTAINER_LEASE.TERM_MS + MAINTAINER_LEASE.MAX_CLOCK_SKEW_MS);
  t.true(fleet.advanceUntil(() => previousHolder.hasLogged("host.stopOrdered"), 10_000));
  previousHolder.paused = true;
  const successors = maintainers.filter((node) => node !== previousHolder);
  fleet.table.onCommit = (_before, after) => {
    const isAcquired = after.some(
      ({ body }) => body.type === "maintainerLease" && body.pool === "dies",
    );
    successors.forEach((node) => (node.paused ||= isAcquired));
  };
  fleet.advance(2 * previousHolder.writeDelayMs);
  t.not(leaseHolder(fleet), previousHolder);
  t.is(fleet.host("dies-1").phase, "leaving");
  t.deepEqual(fleet.reboots, []);
});

test("a maintainer paused while its stop was committed does not reboot the host on resuming", (t) => {
  const { fleet, startWave } = createWaveFleet();
  startWave();
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "leaving"));
  const previousHolder = leaseHolder(fleet);
  const check = fleet.table.onCommit;
  fleet.table.onCommit = (before, after) => {
    check(before, after);
    previousHolder.paused ||= after.some(
      ({ body }) => body.type === "host" && body.phase === "stopped",
    );
  };
  t.true(fleet.advanceUntil(() => leaseHolder(fleet) !== previousHolder, 60_000));
  fleet.table.onCommit = check;
  t.true(fleet.advanceUntil(() => fleet.host("dies-1").phase === "inService"));
  fleet.resume(previousHolder);
  t.false(previousHolder.effects.some(({ type }) => type === "host/reboot"));
  t.deepEqual(fleet.violations, []);
});

test("two maintainers with the same wave never hold its pool's lease at the same time", (t) => {
  const { fleet, startWave, maintainers } = createWaveFleet();
  startWave();
  const done = isWaveDone(fleet);
  while (!done() && fleet.nowMs < 3_600_000) {
    fleet.advance(100);
    const holders = maintainers.filter(({ state }) =>
      [...state.fleet.leases].some(
        ([pool, { expiresAtMs }]) => pool === "dies" && expiresAtMs > fleet.nowMs,
      ),
    );
    t.true(holders.length <= 1);
  }
  t.true(done());
  t.deepEqual([...fleet.reboots].sort(), HOSTS);
});

test("a maintainer that shuts down releases its leases at once", (t) => {
  const { fleet } = createWaveFleet();
  const leaving = leaseHolder(fleet);
  fleet.handle(leaving, { type: "node/shutdownRequested" });
  fleet.advance(500);
  t.true(leaving.effects.some(({ type }) => type === "node/exit"));
  t.true(fleet.table.body("lease/dies", "maintainerLease").released);
  fleet.kill(leaving);
  t.true(
    fleet.advanceUntil(() => !fleet.table.body("lease/dies", "maintainerLease").released, 8_000),
  );
});
