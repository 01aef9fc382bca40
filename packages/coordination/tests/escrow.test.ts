import { availabilityZoneId, revision } from "@heatherferry/common";
import test from "ava";
import fc from "fast-check";
import {
  grantedCount,
  DEFAULT_ESCROW_TERMS,
  emptyTeamEscrow,
  emptyZoneEscrow,
  fairSplit,
  findGrant,
  reclaimExpired,
  updateGrant,
  freeCap,
  returnGrant,
  adjustZoneCap,
  startableCount,
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
const UNLIMITED_SHARE = { zoneShare: Number.POSITIVE_INFINITY };

interface SimulatedEscrow {
  nowMs: number;
  limit: number;
  revision: number;
  team: TeamEscrow;
  zones: ZoneEscrow[];
}

const createEscrow = (limit: number): SimulatedEscrow => ({
  nowMs: 0,
  limit,
  revision: 1,
  team: emptyTeamEscrow({ limit, revision: revision(1) }),
  zones: ZONES.map(() => emptyZoneEscrow(limit)),
});

const zoneEscrowAt = (escrow: SimulatedEscrow, index: number): ZoneEscrow =>
  escrow.zones[index] ?? emptyZoneEscrow(escrow.limit);

const zoneIdAt = (index: number): (typeof ZONES)[number] => ZONES[index] ?? availabilityZoneId("?");

interface Step {
  readonly kind: "limit" | "settle" | "regrant" | "return" | "wait";
  readonly zone: number;
  readonly holder: number;
  readonly count: number;
  readonly running: number;
}

const applySettle = (escrow: SimulatedEscrow, step: Step): void => {
  const settled = adjustZoneCap(
    escrow.team,
    zoneEscrowAt(escrow, step.zone),
    {
      availabilityZone: zoneIdAt(step.zone),
      stated: { limit: escrow.limit, revision: revision(escrow.revision) },
      change: step.count - MAX_LIMIT / 2,
      wanted: step.running,
    },
    TERMS,
    escrow.nowMs,
  );
  escrow.team = settled.team;
  escrow.zones[step.zone] = settled.zone;
};

const applyRegrant = (escrow: SimulatedEscrow, step: Step): void => {
  const holder = HOLDERS[step.holder] ?? "";
  const zone = zoneEscrowAt(escrow, step.zone);
  const own = findGrant(zone, holder);
  const running = Math.min(step.running, own === null ? 0 : grantedCount(own));
  const demand = { target: step.count, base: step.count >> 2, wanted: step.count };
  const request = { holder, running, ...demand, ...UNLIMITED_SHARE };
  const reclaimed = reclaimExpired(zone, TERMS, escrow.nowMs, holder);
  escrow.zones[step.zone] = updateGrant(reclaimed, request, TERMS, escrow.nowMs);
};

const apply = (escrow: SimulatedEscrow, step: Step): void => {
  switch (step.kind) {
    case "limit":
      escrow.limit = step.count;
      escrow.revision += 1;
      return;
    case "settle":
      applySettle(escrow, step);
      return;
    case "regrant":
      applyRegrant(escrow, step);
      return;
    case "return":
      escrow.zones[step.zone] = returnGrant(
        zoneEscrowAt(escrow, step.zone),
        HOLDERS[step.holder] ?? "",
      );
      return;
    case "wait":
      escrow.nowMs += (step.count * TERMS.baseTermMs) / 20;
  }
};

/** What all holders may start under a limit, each deciding by its own grant alone. */
const startableUnder = (escrow: SimulatedEscrow, limit: number): number =>
  escrow.zones
    .flatMap((zone) => zone.grants)
    .reduce((sum, grant) => sum + startableCount(grant, limit, escrow.nowMs), 0);

const assertInvariants = (escrow: SimulatedEscrow): void => {
  for (const [index, zone] of escrow.zones.entries()) {
    const recorded = escrow.team.zones[zoneIdAt(index)]?.cap ?? 0;
    if (!zoneGrantsWithinCap(zone) || zone.cap > recorded) {
      throw new Error(
        `grants exceed the zone's cap, or the cap exceeds the team's row: ${JSON.stringify(zone)}, recorded ${recorded}`,
      );
    }
  }
  if (!zoneCapsWithinLimit(escrow.team)) {
    throw new Error(`zone caps exceed the limit: ${JSON.stringify(escrow.team)}`);
  }
  for (let limit = 0; limit <= MAX_LIMIT; limit += 1) {
    const startable = startableUnder(escrow, limit);
    if (startable > limit) {
      throw new Error(
        `${startable} startable under a limit of ${limit}: ${JSON.stringify(escrow)}`,
      );
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

test("limits raised and lowered while holders receive no update never let more start than any limit", (t) => {
  fc.assert(
    fc.property(fc.nat({ max: MAX_LIMIT }), fc.array(step, { maxLength: 60 }), (limit, steps) => {
      const escrow = createEscrow(limit);
      for (const next of steps) {
        apply(escrow, next);
        assertInvariants(escrow);
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

test("an expired burst is not reclaimed while its work may still run", (t) => {
  const zone = zoneOf(10, [grant("old/1", 2, 6)]);
  const endMs = TERMS.burstTermMs + TERMS.skewMs + TERMS.runTailMs;
  t.is(freeCap(reclaimExpired(zone, TERMS, endMs - 1, "new/1")), 2);
  t.is(freeCap(reclaimExpired(zone, TERMS, endMs, "new/1")), 8);
});

test("a holder whose grant shrinks below what it runs keeps the excess charged", (t) => {
  const before = { ...zoneOf(10, [grant("h/1", 0, 10)]), limit: 4 };
  const request = { holder: "h/1", target: 4, base: 0, wanted: 9, running: 9, ...UNLIMITED_SHARE };
  const after = updateGrant(before, request, TERMS, 0);
  const own = findGrant(after, "h/1");
  t.is(own?.burst, 4);
  t.is(own?.held, 5);
  t.is(after.cap, 9);
  t.is(own === null ? null : startableCount(own, 4, 0), 4);
});

test("a holder with more than its fair share releases it at its next renewal to one that waits", (t) => {
  const waiting: EscrowGrant = { ...grant("late/1", 0, 0), wanted: 10 };
  const zone = zoneOf(10, [grant("early/1", 0, 10), waiting]);
  const request = {
    holder: "early/1",
    target: 10,
    base: 0,
    wanted: 10,
    running: 3,
    ...UNLIMITED_SHARE,
  };
  t.is(findGrant(updateGrant(zone, request, TERMS, 0), "early/1")?.burst, 5);
});

test("a fair split gives nobody more than it wants and no part is lost", (t) => {
  t.deepEqual(fairSplit(10, [1, 20, 4]), [1, 5, 4]);
  t.deepEqual(fairSplit(2, [5, 5, 5]), [1, 1, 0]);
  t.deepEqual(fairSplit(10, []), []);
});

test("cap that a zone has released is not counted twice by the team's row", (t) => {
  const escrow = createEscrow(10);
  applySettle(escrow, { kind: "settle", zone: 0, holder: 0, count: MAX_LIMIT, running: 0 });
  const shrunk = { ...zoneEscrowAt(escrow, 0), cap: 3 };
  t.is(withZone(escrow.team, zoneIdAt(0), shrunk).zones[zoneIdAt(0)]?.cap, 3);
});

test("a zone that acquired the whole limit releases its excess to one that waits", (t) => {
  const escrow = createEscrow(10);
  const all = { kind: "settle", holder: 0, count: MAX_LIMIT, running: 10 } as const;
  applySettle(escrow, { ...all, zone: 0 });
  t.is(zoneEscrowAt(escrow, 0).cap, 10);
  applySettle(escrow, { ...all, zone: 1 });
  t.is(zoneEscrowAt(escrow, 1).cap, 0);
  const stated = { limit: 10, revision: revision(1) };
  const request = { availabilityZone: zoneIdAt(0), stated, change: 0, wanted: 10 };
  const { zoneShare, zone } = adjustZoneCap(
    escrow.team,
    zoneEscrowAt(escrow, 0),
    request,
    TERMS,
    1,
  );
  t.is(zoneShare, 5);
  t.is(trimToShare(zone, zoneShare).cap, 5);
});
