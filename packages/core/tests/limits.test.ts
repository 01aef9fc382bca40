import { rowKey, TIME } from "@heatherferry/common";
import { grantedCount, type EscrowGrant } from "@heatherferry/coordination";
import test from "ava";
import { LimitChecks } from "./helpers/limitChecks.js";
import { TestFleet } from "./helpers/testFleet.js";
import type { TestFleetOptions } from "./helpers/testFleetOptions.js";
import { rulesWithLimits } from "./helpers/testRules.js";

const LIMIT = 40;
const RULES = rulesWithLimits({ corks: LIMIT });
const LONG_MS = 60_000;

const startFleet = (options: Partial<TestFleetOptions> = {}): TestFleet => {
  const fleet = new TestFleet({ zones: { a: 2, b: 2 }, rules: RULES, seed: 7, ...options });
  new LimitChecks(fleet);
  fleet.run(10_000);
  return fleet;
};

const grantIn = (fleet: TestFleet, zone: string, holder: string): EscrowGrant | undefined => {
  const body = fleet.table.row(rowKey(`escrow/zone/${zone}/corks`))?.body;
  return body?.type === "zoneEscrow"
    ? body.grants.find((grant) => grant.holder === holder)
    : undefined;
};

const baseIn = (fleet: TestFleet, zone: string, holder: string): number =>
  grantIn(fleet, zone, holder)?.base ?? 0;

const countIn = (fleet: TestFleet, zone: string, holder: string): number => {
  const grant = grantIn(fleet, zone, holder);
  return grant === undefined ? 0 : grantedCount(grant);
};

/** Keeps requests waiting on the named entry hosts for the given time. */
const saturate = (
  fleet: TestFleet,
  names: readonly string[],
  forMs: number,
  serviceMs: number,
): void => {
  for (let passedMs = 0; passedMs < forMs; passedMs += 1_000) {
    for (const name of names) {
      fleet.sendRequests(name, "q-corks", LIMIT, serviceMs);
    }
    fleet.run(1_000);
  }
};

test("two hosts that ask for the whole limit at once share it and do not exceed it", (t) => {
  const fleet = startFleet();
  saturate(fleet, ["a1", "a2", "b1", "b2"], 30_000, 3_000);
  t.true(fleet.runningOf("corks") > LIMIT * 0.8);
  t.true(fleet.runningOf("corks") <= LIMIT);
});

test("the burst of a killed host is not granted again until its work must have ended", (t) => {
  const fleet = startFleet();
  fleet.sendRequests("a1", "q-corks", LIMIT, LONG_MS);
  fleet.run(10_000);
  const held = fleet.runningOf("corks");
  fleet.kill("a1");
  saturate(fleet, ["a2"], 100_000, 2_000);
  t.true(fleet.runningOf("corks") <= LIMIT - held);
  saturate(fleet, ["a2"], 110_000, 2_000);
  t.true(fleet.runningOf("corks") > LIMIT * 0.7);
});

test("a host paused until its grant has expired starts nothing under that grant when it resumes", (t) => {
  const fleet = startFleet();
  fleet.sendRequests("a1", "q-corks", LIMIT, 5_000);
  fleet.run(10_000);
  fleet.pause("a1", 260_000);
  fleet.sendRequests("a1", "q-corks", LIMIT, 5_000);
  saturate(fleet, ["a2", "b1"], 250_000, 2_000);
  t.true(fleet.runningOf("corks") > LIMIT * 0.6);
  fleet.sendRequests("a1", "q-corks", LIMIT, 5_000);
  saturate(fleet, ["a2", "b1"], 60_000, 2_000);
  t.true(countIn(fleet, "a", "a1/i1") > 0);
});

test("a zone disconnected from the platform keeps running its base, which no other zone acquires", (t) => {
  const fleet = startFleet();
  saturate(fleet, ["a1", "b1"], 20_000, 1_000);
  fleet.setZoneDisconnected("a", true);
  saturate(fleet, ["a1", "b1"], 20 * TIME.MINUTE_MS, 1_000);
  const onA = [...fleet.runningWork.values()].filter((work) => work.node === "a1").length;
  t.true(onA > 0);
  t.is(onA, baseIn(fleet, "a", "a1/i1"));
  fleet.setZoneDisconnected("a", false);
  saturate(fleet, ["a1"], 30_000, 1_000);
  t.true(countIn(fleet, "a", "a1/i1") > onA);
});

test("a platform that is down for minutes aborts only work beyond the base, after the run tail", (t) => {
  const fleet = startFleet();
  fleet.sendRequests("a1", "q-corks", LIMIT, 10 * TIME.MINUTE_MS);
  fleet.run(5_000);
  const before = fleet.runningOf("corks");
  fleet.tableDown = true;
  fleet.run(120_000);
  t.is(fleet.runningOf("corks"), before);
  fleet.run(70_000);
  t.is(fleet.runningOf("corks"), baseIn(fleet, "a", "a1/i1"));
  fleet.tableDown = false;
  fleet.run(30_000);
  t.is(fleet.node("a1").state.limits.counters.stopped, before - baseIn(fleet, "a", "a1/i1"));
});

test("a reply lost after the write took effect neither doubles nor loses a grant", (t) => {
  const fleet = startFleet();
  fleet.lostReplyFraction = 0.7;
  saturate(fleet, ["a1", "a2", "b1"], 120_000, 2_000);
  t.true(fleet.runningOf("corks") > LIMIT * 0.5);
  fleet.lostReplyFraction = 0;
  fleet.run(10 * TIME.MINUTE_MS);
  t.true(countIn(fleet, "a", "a1/i1") <= 5);
});

test("a limit lowered while work runs lets nothing start until fewer run than it allows", (t) => {
  const fleet = startFleet();
  saturate(fleet, ["a1", "b1"], 20_000, 1_000);
  fleet.sendRequests("a1", "q-corks", LIMIT, LONG_MS);
  fleet.run(5_000);
  fleet.applyRules(rulesWithLimits({ corks: 10 }));
  saturate(fleet, ["a2", "b1", "b2"], 80_000, 1_000);
  t.true(fleet.runningOf("corks") <= 10);
  t.true(fleet.runningOf("corks") >= 7);
});

test("a limit lowered while a zone is disconnected leaves the other zones their own part", (t) => {
  const fleet = startFleet();
  saturate(fleet, ["a1", "b1"], 30_000, 1_000);
  fleet.setZoneDisconnected("a", true);
  fleet.applyRules(rulesWithLimits({ corks: 20 }));
  saturate(fleet, ["a1", "b1"], 100_000, 1_000);
  t.true(fleet.runningOf("corks") <= 20);
  t.true([...fleet.runningWork.values()].some((work) => work.node === "b1"));
});

test("a raised limit is used only after the team's escrow row has it", (t) => {
  const fleet = startFleet();
  saturate(fleet, ["a1", "b1"], 20_000, 1_000);
  fleet.applyRules(rulesWithLimits({ corks: 80 }));
  fleet.tableDown = true;
  saturate(fleet, ["a1", "b1"], 10_000, 1_000);
  t.true(fleet.runningOf("corks") <= LIMIT);
  fleet.tableDown = false;
  saturate(fleet, ["a1", "b1"], 40_000, 1_000);
  t.true(fleet.runningOf("corks") > 60);
});

test("a new incarnation of an entry host does not inherit the grant of the previous one", (t) => {
  const fleet = startFleet();
  fleet.sendRequests("a1", "q-corks", 30, LONG_MS);
  fleet.run(5_000);
  fleet.kill("a1");
  fleet.replace("a1");
  saturate(fleet, ["a1"], 20_000, 1_000);
  t.true(countIn(fleet, "a", "a1/i1") >= 30);
  t.true(countIn(fleet, "a", "a1/i2") <= LIMIT - 30);
});

test("a clean shutdown returns its grants at once", (t) => {
  const fleet = startFleet();
  fleet.sendRequests("a1", "q-corks", 30, 3_000);
  fleet.run(5_000);
  t.true(countIn(fleet, "a", "a1/i1") >= 30);
  fleet.shutdown("a1");
  fleet.run(2_000);
  t.is(countIn(fleet, "a", "a1/i1"), 0);
});

test("an idle fleet writes no escrow rows", (t) => {
  const fleet = startFleet();
  fleet.run(TIME.MINUTE_MS);
  const before = fleet.table.row(rowKey("escrow/zone/a/corks"))?.version;
  fleet.run(10 * TIME.MINUTE_MS);
  t.is(fleet.table.row(rowKey("escrow/zone/a/corks"))?.version, before);
});

test("a zone releases the cap that it no longer uses", (t) => {
  const fleet = startFleet();
  saturate(fleet, ["a1"], 20_000, 1_000);
  fleet.run(3 * TIME.MINUTE_MS);
  const body = fleet.table.row(rowKey("escrow/team/corks"))?.body;
  const caps = body?.type === "teamEscrow" ? Object.values(body.zones) : [];
  t.true(caps.reduce((sum, zone) => sum + zone.cap, 0) < LIMIT / 2);
});
