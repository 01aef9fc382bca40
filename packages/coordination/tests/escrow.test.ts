import { availabilityZoneId, revision } from "@heatherferry/common";
import test from "ava";
import fc from "fast-check";
import {
  countedOf,
  DEFAULT_ESCROW_TERMS,
  emptyTeamEscrow,
  emptyZoneEscrow,
  fairSplit,
  grantOf,
  reclaimLapsed,
  regrant,
  restOf,
  returnGrant,
  settleCaps,
  startableOf,
  trimToShare,
  withZone,
  zoneCapsWithinLimit,
  zoneGrantsWithinCap,
  type EscrowGrant,
  type TeamEscrow,
  type ZoneEscrow,
} from "../src/index.js";

const TERMS = DEFAULT_ESCROW_TERMS;
const ZONES = ["a", "b", "c"].map(availabilityZoneId);
const HOLDERS = ["h1/1", "h2/1"];
const MAX_LIMIT = 40;
const ALONE = { zoneShare: Number.POSITIVE_INFINITY };

interface World {
  nowMs: number;
  limit: number;
  revision: number;
  team: TeamEscrow;
  zones: ZoneEscrow[];
}

const newWorld = (limit: number): World => ({
  nowMs: 0,
  limit,
  revision: 1,
  team: emptyTeamEscrow({ limit, revision: revision(1) }),
  zones: ZONES.map(() => emptyZoneEscrow(limit)),
});

const zoneAt = (world: World, place: number): ZoneEscrow =>
  world.zones[place] ?? emptyZoneEscrow(world.limit);

const idAt = (place: number): (typeof ZONES)[number] => ZONES[place] ?? availabilityZoneId("?");

interface Step {
  readonly kind: "limit" | "settle" | "regrant" | "return" | "wait";
  readonly zone: number;
  readonly holder: number;
  readonly count: number;
  readonly running: number;
}

const settle = (world: World, step: Step): void => {
  const settled = settleCaps(
    world.team,
    zoneAt(world, step.zone),
    {
      availabilityZone: idAt(step.zone),
      stated: { limit: world.limit, revision: revision(world.revision) },
      change: step.count - MAX_LIMIT / 2,
      wanted: step.running,
    },
    TERMS,
    world.nowMs,
  );
  world.team = settled.team;
  world.zones[step.zone] = settled.zone;
};

const regrantIn = (world: World, step: Step): void => {
  const holder = HOLDERS[step.holder] ?? "";
  const zone = zoneAt(world, step.zone);
  const own = grantOf(zone, holder);
  const running = Math.min(step.running, own === null ? 0 : countedOf(own));
  const asked = { target: step.count, base: step.count >> 2, wanted: step.count };
  const request = { holder, running, ...asked, ...ALONE };
  const reclaimed = reclaimLapsed(zone, TERMS, world.nowMs, holder);
  world.zones[step.zone] = regrant(reclaimed, request, TERMS, world.nowMs);
};

const apply = (world: World, step: Step): void => {
  switch (step.kind) {
    case "limit":
      world.limit = step.count;
      world.revision += 1;
      return;
    case "settle":
      settle(world, step);
      return;
    case "regrant":
      regrantIn(world, step);
      return;
    case "return":
      world.zones[step.zone] = returnGrant(zoneAt(world, step.zone), HOLDERS[step.holder] ?? "");
      return;
    case "wait":
      world.nowMs += (step.count * TERMS.baseTermMs) / 20;
  }
};

/** Holders that heard of nothing since their grant must fit under any limit, by themselves. */
const startableUnder = (world: World, limit: number): number =>
  world.zones
    .flatMap((zone) => zone.grants)
    .reduce((sum, grant) => sum + startableOf(grant, limit, world.nowMs), 0);

const assertHolds = (world: World): void => {
  for (const [place, zone] of world.zones.entries()) {
    const recorded = world.team.zones[idAt(place)]?.cap ?? 0;
    if (!zoneGrantsWithinCap(zone) || zone.cap > recorded) {
      throw new Error(`zone above its cap: ${JSON.stringify(zone)}, recorded ${recorded}`);
    }
  }
  if (!zoneCapsWithinLimit(world.team)) {
    throw new Error(`caps above the limit: ${JSON.stringify(world.team)}`);
  }
  for (let limit = 0; limit <= MAX_LIMIT; limit += 1) {
    const startable = startableUnder(world, limit);
    if (startable > limit) {
      throw new Error(`${startable} startable under a limit of ${limit}: ${JSON.stringify(world)}`);
    }
  }
};

const step = fc.record<Step>({
  kind: fc.constantFrom("limit", "settle", "settle", "regrant", "regrant", "return", "wait"),
  zone: fc.nat({ max: ZONES.length - 1 }),
  holder: fc.nat({ max: HOLDERS.length - 1 }),
  count: fc.nat({ max: MAX_LIMIT }),
  running: fc.nat({ max: MAX_LIMIT }),
});

test("limits raised and lowered while holders hear nothing never let more start than any limit", (t) => {
  fc.assert(
    fc.property(fc.nat({ max: MAX_LIMIT }), fc.array(step, { maxLength: 60 }), (limit, steps) => {
      const world = newWorld(limit);
      for (const next of steps) {
        apply(world, next);
        assertHolds(world);
      }
    }),
    { seed: 20_417, numRuns: 3_000 },
  );
  t.pass();
});

const grant = (holder: string, base: number, burst: number): EscrowGrant => ({
  holder,
  base,
  burst,
  held: 0,
  wanted: base + burst,
  baseUntilMs: TERMS.baseTermMs,
  burstUntilMs: TERMS.burstTermMs,
  limit: 10,
  above: 0,
});

const zoneOf = (cap: number, grants: readonly EscrowGrant[]): ZoneEscrow => ({
  cap,
  limit: 10,
  above: 0,
  grants,
});

test("a lapsed burst is not taken back while its work may still run", (t) => {
  const zone = zoneOf(10, [grant("old/1", 2, 6)]);
  const endMs = TERMS.burstTermMs + TERMS.skewMs + TERMS.runTailMs;
  t.is(restOf(reclaimLapsed(zone, TERMS, endMs - 1, "new/1")), 2);
  t.is(restOf(reclaimLapsed(zone, TERMS, endMs, "new/1")), 8);
});

test("a holder that shrinks below what it runs keeps the excess counted", (t) => {
  const before = { ...zoneOf(10, [grant("h/1", 0, 10)]), limit: 4 };
  const request = { holder: "h/1", target: 4, base: 0, wanted: 9, running: 9, ...ALONE };
  const after = regrant(before, request, TERMS, 0);
  const own = grantOf(after, "h/1");
  t.is(own?.burst, 4);
  t.is(own?.held, 5);
  t.is(after.cap, 9);
  t.is(own === null ? null : startableOf(own, 4, 0), 4);
});

test("a holder that hoards gives way at its next renewal to one that waits", (t) => {
  const waiting: EscrowGrant = { ...grant("late/1", 0, 0), wanted: 10 };
  const zone = zoneOf(10, [grant("early/1", 0, 10), waiting]);
  const request = { holder: "early/1", target: 10, base: 0, wanted: 10, running: 3, ...ALONE };
  t.is(grantOf(regrant(zone, request, TERMS, 0), "early/1")?.burst, 5);
});

test("a fair split gives nobody more than it wants and no part is lost", (t) => {
  t.deepEqual(fairSplit(10, [1, 20, 4]), [1, 5, 4]);
  t.deepEqual(fairSplit(2, [5, 5, 5]), [1, 1, 0]);
  t.deepEqual(fairSplit(10, []), []);
});

test("cap that a zone gave up is not counted twice by the team's row", (t) => {
  const world = newWorld(10);
  settle(world, { kind: "settle", zone: 0, holder: 0, count: MAX_LIMIT, running: 0 });
  const shrunk = { ...zoneAt(world, 0), cap: 3 };
  t.is(withZone(world.team, idAt(0), shrunk).zones[idAt(0)]?.cap, 3);
});

test("a zone that took all gives way to one that waits", (t) => {
  const world = newWorld(10);
  const all = { kind: "settle", holder: 0, count: MAX_LIMIT, running: 10 } as const;
  settle(world, { ...all, zone: 0 });
  t.is(zoneAt(world, 0).cap, 10);
  settle(world, { ...all, zone: 1 });
  t.is(zoneAt(world, 1).cap, 0);
  const stated = { limit: 10, revision: revision(1) };
  const request = { availabilityZone: idAt(0), stated, change: 0, wanted: 10 };
  const { zoneShare, zone } = settleCaps(world.team, zoneAt(world, 0), request, TERMS, 1);
  t.is(zoneShare, 5);
  t.is(trimToShare(zone, zoneShare).cap, 5);
});
