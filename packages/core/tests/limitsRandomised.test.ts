import test from "ava";
import fc from "fast-check";
import { LimitChecks } from "./helpers/limitChecks.js";
import { TestFleet } from "./helpers/testFleet.js";
import { rulesWithLimits } from "./helpers/testRules.js";

const ZONES = { a: 2, b: 2, c: 1 };
const NAMES = ["a1", "a2", "b1", "b2", "c1"];
const ZONE_NAMES = Object.keys(ZONES);
const MAX_SERVICE_MS = 60_000;

interface Fault {
  readonly kind:
    "offer" | "kill" | "replace" | "pause" | "cut" | "heal" | "down" | "lose" | "limit" | "leave";
  readonly place: number;
  readonly count: number;
  readonly forMs: number;
}

const nameOf = (fault: Fault): string => NAMES[fault.place % NAMES.length] ?? "a1";
const zoneOf = (fault: Fault): string => ZONE_NAMES[fault.place % ZONE_NAMES.length] ?? "a";

const inject = (fleet: TestFleet, fault: Fault): void => {
  const name = nameOf(fault);
  const { alive } = fleet.node(name);
  switch (fault.kind) {
    case "offer":
      fleet.sendRequests(name, "q-corks", fault.count, Math.min(MAX_SERVICE_MS, fault.forMs));
      return;
    case "kill":
      fleet.kill(name);
      return;
    case "replace":
      fleet.kill(name);
      fleet.replace(name);
      return;
    case "pause":
      if (alive) {
        fleet.pause(name, fault.forMs);
      }
      return;
    case "cut":
      fleet.setZoneDisconnected(zoneOf(fault), true);
      return;
    case "heal":
      fleet.endFaults();
      return;
    case "down":
      fleet.tableDown = !fleet.tableDown;
      return;
    case "lose":
      fleet.lostReplyFraction = fault.count / 100;
      return;
    case "limit":
      fleet.applyRules(rulesWithLimits({ corks: fault.count, cards: 20 }));
      return;
    case "leave":
      fleet.shutdown(name);
  }
};

const sendToAllHosts = (fleet: TestFleet, serviceMs: number): void => {
  for (const name of NAMES) {
    fleet.sendRequests(name, "q-corks", 15, serviceMs);
    fleet.sendRequests(name, "q-cards", 3, serviceMs);
  }
};

const fault = fc.record<Fault>({
  kind: fc.constantFrom(
    ...(["offer", "offer", "offer", "offer", "kill", "replace", "replace", "pause"] as const),
    ...(["cut", "heal", "heal", "down", "lose", "limit", "limit", "leave"] as const),
  ),
  place: fc.nat({ max: 30 }),
  count: fc.integer({ min: 1, max: 60 }),
  forMs: fc.integer({ min: 100, max: 300_000 }),
});

const steps = fc.array(fc.tuple(fault, fc.integer({ min: 10, max: 40_000 })), { maxLength: 40 });

test("no mix of failures lets more requests run or start than the limit allows", (t) => {
  let served = 0;
  fc.assert(
    fc.property(steps, fc.nat(), (plan, seed) => {
      const rules = rulesWithLimits({ corks: 40, cards: 20 });
      const fleet = new TestFleet({ zones: ZONES, rules, seed });
      new LimitChecks(fleet);
      fleet.run(5_000);
      for (const [next, waitMs] of plan) {
        inject(fleet, next);
        sendToAllHosts(fleet, waitMs);
        fleet.run(waitMs);
      }
      served += fleet.completedRequests;
    }),
    { seed: 51_877, numRuns: 60 },
  );
  t.log(`${served} requests served`);
  t.true(served > 5_000);
});
