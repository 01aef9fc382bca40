import fc from "fast-check";
import test from "ava";
import { RUN_TIMES_ROW, RunTimeEstimates, type RunTimesRow } from "../../../src/index.js";
import { kindOf, Learner } from "./runTimeLoads.js";

/** Size limit of a row in the platform's store, in base64. */
const MAX_STORED_BYTES = 65_536;

const WALL_MS = 1_700_000_000_000;

const storedBytes = (row: RunTimesRow): number =>
  4 * Math.ceil(Buffer.byteLength(JSON.stringify(row)) / 3);

const learnerOf = (teams: readonly string[]): Learner => {
  const learner = new Learner();
  for (const team of teams) {
    learner.play(12, () => ({ durationMs: 1_000, estimateMs: 5_000 }), team);
  }
  return learner;
};

/** Returns the estimates of a new owner that reads a row as the store holds it. */
const restored = (row: unknown, nowMs = 50, wallMs = WALL_MS): RunTimeEstimates => {
  const estimates = new RunTimeEstimates();
  estimates.restore(JSON.parse(JSON.stringify(row)) as RunTimesRow, nowMs, wallMs);
  return estimates;
};

test("a new owner starts from nothing although a row tells what was learned", (t) => {
  const learner = learnerOf(["lots"]);
  const row = learner.estimates.toRow(learner.nowMs + 300, WALL_MS);
  const estimates = restored(row, 50, WALL_MS + 700);
  const { expectedMs, ageMs, samples } = estimates.expect(kindOf(), 5_000, 50);
  t.true(Math.abs(expectedMs - 1_000) < 50, `${expectedMs} ms expected`);
  t.is(ageMs, 1_000);
  t.is(samples, 12);
});

test("a row about many teams, queues and steps exceeds the size limit of the store", (t) => {
  const learner = new Learner();
  for (let index = 0; index < 20_000; index += 1) {
    const name = `ü${index % 300}`.repeat(1 + (index % 60));
    learner.end(kindOf(name, name, index % 7), 604_800_000 - index, 86_400_000 + index);
  }
  const row = learner.estimates.toRow(learner.nowMs, WALL_MS);
  t.true(row.levels.some((kinds) => kinds.length > 0));
  t.true(storedBytes(row) <= MAX_STORED_BYTES, `${storedBytes(row)} bytes`);
});

test("the general kinds are missing in a row because specific ones fill it", (t) => {
  const teams = Array.from({ length: 40 }, (_, index) => `team ${index}`);
  const learner = learnerOf(teams);
  const row = learner.estimates.toRow(learner.nowMs, WALL_MS);
  t.is(row.levels.at(-1)?.length, 1);
  const { expectedMs } = restored(row).expect(kindOf("new"), 5_000, 50);
  t.true(Math.abs(expectedMs - 1_000) < 100, `${expectedMs} ms expected`);
});

for (const { what, change } of [
  { what: "of an older form", change: { form: RUN_TIMES_ROW.FORM - 1 } },
  { what: "of a later form", change: { form: RUN_TIMES_ROW.FORM + 1 } },
  { what: "without levels", change: { levels: null } },
  { what: "with levels of another shape", change: { levels: [[null, 3, { key: 1 }], "x"] } },
]) {
  test(`a row ${what} is read as if it were of this one`, (t) => {
    const learner = learnerOf(["lots"]);
    const row = { ...learner.estimates.toRow(learner.nowMs, WALL_MS), ...change };
    const estimates = restored(row);
    t.deepEqual(estimates.summary(50), []);
    t.is(estimates.expect(kindOf(), 5_000, 50).expectedMs, 5_000);
  });
}

test("one unreadable sample costs a kind all others", (t) => {
  const learner = learnerOf(["lots"]);
  const row = learner.estimates.toRow(learner.nowMs, WALL_MS);
  const levels = row.levels.map((kinds) =>
    kinds.map((kind) => ({ ...kind, samples: [[1], ["a", 2, 3, 4], ...kind.samples.slice(2)] })),
  );
  const { expectedMs } = restored({ ...row, levels }).expect(kindOf(), 5_000, 50);
  t.true(Math.abs(expectedMs - 1_000) < 50, `${expectedMs} ms expected`);
});

test("a row with wrong figures keeps the owner from learning better ones", (t) => {
  const liar = new Learner();
  liar.play(30, () => ({ durationMs: 500_000, estimateMs: 1_000 }));
  const estimates = restored(liar.estimates.toRow(liar.nowMs, WALL_MS));
  const learner = new Learner(estimates);
  learner.play(24, () => ({ durationMs: 1_000, estimateMs: 1_000 }));
  const { expectedMs } = learner.expect(1_000);
  t.true(expectedMs > 500 && expectedMs < 2_000, `${expectedMs} ms expected`);
});

test("a row of any content makes the owner fail or expect what is no number", (t) => {
  const value = fc.anything({ maxDepth: 1 });
  const sample = fc.array(fc.oneof(fc.double(), fc.nat(), value), { maxLength: 6 });
  const kind = fc.record({
    key: fc.constantFrom("team mills lots", "queue mills", "step mills lots 0"),
    ageMs: fc.oneof(fc.nat(), value),
    samples: fc.array(fc.oneof(sample, value), { maxLength: 30 }),
  });
  const row = fc.record({
    form: fc.constant(RUN_TIMES_ROW.FORM),
    writtenWallMs: fc.oneof(fc.nat(), value),
    levels: fc.array(fc.array(fc.oneof(kind, value), { maxLength: 4 }), { maxLength: 8 }),
  });
  fc.assert(
    fc.property(row, (content) => {
      const estimates = new RunTimeEstimates();
      estimates.restore(content as unknown as RunTimesRow, 50, WALL_MS);
      estimates.observe(kindOf(), 900, 1_000, 60);
      const { expectedMs, upperMs } = estimates.expect(kindOf(), 1_000, 70);
      return Number.isFinite(expectedMs) && expectedMs > 0 && upperMs >= expectedMs;
    }),
    { seed: 7, numRuns: 400 },
  );
  t.pass();
});
