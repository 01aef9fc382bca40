import { poolId, teamId } from "@heatherferry/common";
import test from "ava";
import fc from "fast-check";
import {
  ADMISSION,
  decideAdmission,
  drawOf,
  forecastWaits,
  inOrder,
  publishedForecast,
  STANDING,
  type AdmissionView,
  type Newcomer,
  type PoolRoom,
  type WaitingWork,
} from "../../src/work/admission/index.js";
import { publishedPools } from "../../src/work/admission/publishedFigures.js";

/** Bound on the figures in the owner's row, which every node reads five times a second. */
const MAX_FIGURES_BYTES = 3_000;

const HOT = teamId("hot");
const CALM = teamId("calm");

const ROOM: PoolRoom = { capacity: 10_000, speed: 1, arriving: 4_000 };

const NO_CEILING = (): number => 0;

const cpuWork = (cpuMilliMs: number): WaitingWork["work"] => ({
  cpuMilli: cpuMilliMs,
  memoryMb: 0,
  gpus: 0,
});

/** One second of a thousandth of the room. */
const WORK = cpuWork(10 * 1_000);

const entryOf = (entry: Partial<WaitingWork>): WaitingWork => ({
  team: HOT,
  standing: STANDING.OVER_RATE,
  priority: 0,
  dueInMs: 1_000,
  usefulForMs: 6_000,
  work: WORK,
  ...entry,
});

const lineOf = (count: number, entry: Partial<WaitingWork> = {}): readonly WaitingWork[] =>
  Array.from({ length: count }, (_, index) =>
    entryOf({ dueInMs: (1_000 * index) / count, ...entry }),
  );

const viewOf = (
  entries: readonly WaitingWork[],
  view: Partial<AdmissionView> = {},
): AdmissionView => {
  const cpuMilli = publishedForecast(forecastWaits(inOrder(entries), "cpuMilli", ROOM, NO_CEILING));
  return {
    ageMs: 0,
    pool: cpuMilli === null ? null : { cpuMilli },
    offeredPerS: 60,
    offeredHerePerS: 20,
    ...view,
  };
};

const newcomerOf = (newcomer: Partial<Newcomer>): Newcomer => ({
  team: HOT,
  rate: 10,
  priority: 0,
  work: WORK,
  dueInMs: 8_000,
  usefulForMs: 20_000,
  draw: 0.9,
  inReturnSlot: false,
  ...newcomer,
});

/** A line for twice as long as newcomers are of use. */
const LONG_LINE = lineOf(2 * 20 * 800);

const SHORT_LINE = lineOf(10 * 800);

test("a submission beyond its team's rate waits in line until it is of no use", (t) => {
  const decision = decideAdmission(newcomerOf({}), viewOf(LONG_LINE));
  t.is(decision.result, "refuse");
  if (decision.result === "refuse") {
    t.true(Math.abs(decision.waitMs - 40_000) < 10, `${decision.waitMs} ms of wait`);
    // A third of the callers of the team arrive at the node, so it lets a third of them return.
    t.true(Math.abs(decision.returnGapMs - 3 * (1_000 / 800)) < 0.01);
  }
});

test("a submission is refused although the room would have carried it", (t) => {
  t.is(decideAdmission(newcomerOf({}), viewOf(SHORT_LINE)).result, "admit");
  t.is(decideAdmission(newcomerOf({}), viewOf([])).result, "admit");
  t.is(decideAdmission(newcomerOf({}), null).result, "admit");
});

test("a submission is refused by the line of another team, a worse priority or later work", (t) => {
  for (const other of [{ team: CALM }, { priority: 1 }, { dueInMs: 9_000 }]) {
    const view = viewOf(lineOf(LONG_LINE.length, other));
    t.is(decideAdmission(newcomerOf({}), view).result, "admit", JSON.stringify(other));
  }
});

test("work within the rates of teams does not count for those beyond theirs", (t) => {
  const within = lineOf(LONG_LINE.length, {
    team: CALM,
    standing: STANDING.IN_TIME,
    usefulForMs: 60_000,
  });
  t.is(decideAdmission(newcomerOf({}), viewOf(within)).result, "refuse");
  const expiring = within.map((entry) => ({ ...entry, usefulForMs: 15_000 }));
  t.is(decideAdmission(newcomerOf({}), viewOf(expiring)).result, "admit");
});

test("figures that are too old still refuse submissions", (t) => {
  const ageMs = ADMISSION.MAX_AGE_MS;
  t.is(decideAdmission(newcomerOf({}), viewOf(LONG_LINE, { ageMs })).result, "refuse");
  const older = viewOf(LONG_LINE, { ageMs: ageMs + 1 });
  t.is(decideAdmission(newcomerOf({}), older).result, "admit");
});

test("a caller that returns when told finds the line as long as anyone else", (t) => {
  const view = viewOf(lineOf(22 * 800));
  t.is(decideAdmission(newcomerOf({}), view).result, "refuse");
  t.is(decideAdmission(newcomerOf({ inReturnSlot: true }), view).result, "admit");
  t.is(decideAdmission(newcomerOf({ inReturnSlot: true }), viewOf(LONG_LINE)).result, "refuse");
});

test("a team that submits six times its rate gets less than its rate accepted", (t) => {
  const view = viewOf(LONG_LINE, { offeredPerS: 60 });
  const ids = Array.from({ length: 6_000 }, (_, index) => (index * 0x9e37_79b1).toString(16));
  const admitted = ids.filter((id, index) => {
    const draw = drawOf(id, 100 * index);
    return decideAdmission(newcomerOf({ rate: 10, draw }), view).result === "admit";
  }).length;
  t.true(admitted >= ids.length / 6, `${admitted} of ${ids.length}`);
  t.true(admitted <= ids.length / 4, `${admitted} of ${ids.length}`);
});

test("a team within its rate is refused because of others", (t) => {
  const within = newcomerOf({ team: CALM, draw: 0.999 });
  const lines = [...LONG_LINE, ...lineOf(LONG_LINE.length, { team: CALM })];
  t.is(decideAdmission(within, viewOf(lines, { offeredPerS: null })).result, "admit");
});

test("a team's ceiling holds back work that counts as standing before others", (t) => {
  const within = lineOf(LONG_LINE.length, {
    team: CALM,
    standing: STANDING.LATE,
    usefulForMs: 1e6,
  });
  const ceilingOf = (team: unknown): number => (team === CALM ? 800 : 0);
  const { withinRateMs } = forecastWaits(within, "cpuMilli", ROOM, ceilingOf);
  // The team may have a tenth of the free units in use, so it holds up others for a tenth.
  t.true(withinRateMs < 5_000, `${withinRateMs} ms`);
});

test("a wait is longer than all waiting work takes", (t) => {
  const entries = fc.array(
    fc.record({
      team: fc.constantFrom(HOT, CALM, null),
      standing: fc.constantFrom(...Object.values(STANDING)),
      priority: fc.integer({ min: 0, max: 1 }),
      dueInMs: fc.integer({ min: -5_000, max: 10_000 }),
      usefulForMs: fc.integer({ min: 0, max: 30_000 }),
      work: fc.integer({ min: 0, max: 10_000_000 }).map(cpuWork),
    }),
    { maxLength: 60 },
  );
  fc.assert(
    fc.property(entries, fc.integer({ min: -5_000, max: 10_000 }), (waiting, dueInMs) => {
      const { freeUnits, lines } = forecastWaits(inOrder(waiting), "cpuMilli", ROOM, NO_CEILING);
      for (const { team, priority, duesMs, waitsMs } of lines) {
        const ahead = waiting.filter(
          (entry) =>
            entry.standing !== STANDING.OVER_RATE ||
            (entry.team === team && entry.priority === priority && entry.dueInMs <= dueInMs),
        );
        const workMs = ahead.reduce((sum, { work }) => sum + work.cpuMilli, 0) / freeUnits;
        const waitMs = waitsMs[duesMs.findLastIndex((dueMs) => dueMs <= dueInMs)] ?? 0;
        t.true(waitMs <= workMs + 1e-6);
      }
    }),
    { seed: 11, numRuns: 300 },
  );
});

test("the owner's row grows with the number of teams and pools", (t) => {
  const teams = Array.from({ length: 85 }, (_, index) => teamId(`team-${index}`));
  const waiting = teams.flatMap((team) => lineOf(2_000, { team }));
  const cpuMilli = publishedForecast(forecastWaits(inOrder(waiting), "cpuMilli", ROOM, NO_CEILING));
  t.is(cpuMilli?.lines.length, ADMISSION.MAX_LINES_PER_RESOURCE);
  t.true(cpuMilli?.lines.every(({ duesMs }) => duesMs.length <= ADMISSION.POINTS_PER_LINE));
  if (cpuMilli === null) {
    return;
  }
  const pool = { cpuMilli, memoryMb: cpuMilli, gpus: cpuMilli };
  const ids = Array.from({ length: 52 }, (_, index) => poolId(`pool-${index}`));
  const published = publishedPools(ids.map((id) => [id, pool]));
  t.true(JSON.stringify(published).length < MAX_FIGURES_BYTES);
  const smallPools = publishedPools(ids.map((id) => [id, { cpuMilli }]));
  t.true(Object.keys(smallPools).length > 1);
  t.true(JSON.stringify(smallPools).length < MAX_FIGURES_BYTES);
  t.is(publishedForecast(forecastWaits(lineOf(100), "cpuMilli", ROOM, NO_CEILING)), null);
});
