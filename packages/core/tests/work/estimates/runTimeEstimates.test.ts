import test from "ava";
import { SAMPLES } from "../../../src/index.js";
import { evenShare, kindOf, Learner, type PlayedRun } from "./runTimeLoads.js";

/** Durations of a kind vary by this much both ways. */
const VARIATION = 0.2;

const around = (ms: number, index: number): number =>
  ms * (1 + VARIATION * (2 * evenShare(index) - 1));

/** Runs of a second whose callers estimate a fixed factor of what they take. */
const runsEstimatedAt =
  (factor: number, usualMs = 1_000) =>
  (index: number): PlayedRun => ({
    durationMs: around(usualMs, index),
    estimateMs: usualMs * factor,
  });

/** Whether a figure is off by less than a share of what it should be. */
const isNear = (actualMs: number, wantedMs: number, share = VARIATION): boolean =>
  Math.abs(actualMs - wantedMs) <= share * wantedMs;

for (const { factor, way } of [
  { factor: 5, way: "high" },
  { factor: 0.2, way: "low" },
]) {
  test(`estimates that are five times too ${way} are still used after 30 ends`, (t) => {
    const learner = new Learner();
    learner.play(30, runsEstimatedAt(factor));
    const { expectedMs, upperMs, kind, samples } = learner.expect(1_000 * factor);
    t.true(isNear(expectedMs, 1_000), `${expectedMs} ms expected`);
    t.true(upperMs >= expectedMs && isNear(upperMs, 1_200), `${upperMs} ms at most`);
    t.not(kind, null);
    t.is(samples, SAMPLES.MAX);
  });
}

test("estimates that are off by up to five both ways hide that all runs take the same", (t) => {
  const learner = new Learner();
  learner.play(40, (index) => ({
    durationMs: around(1_000, index),
    estimateMs: 1_000 * 5 ** (2 * evenShare(index * 7) - 1),
  }));
  for (const estimateMs of [250, 1_000, 4_000]) {
    const { expectedMs } = learner.expect(estimateMs);
    t.true(isNear(expectedMs, 1_000, 0.3), `${expectedMs} ms expected at ${estimateMs}`);
  }
});

test("estimates that durations follow are dropped because of their constant factor", (t) => {
  const learner = new Learner();
  learner.play(40, (index) => {
    const usualMs = 200 * 20 ** evenShare(index * 3);
    return { durationMs: around(usualMs, index), estimateMs: 5 * usualMs };
  });
  for (const usualMs of [300, 3_000]) {
    const { expectedMs } = learner.expect(5 * usualMs);
    t.true(isNear(expectedMs, usualMs, 0.3), `${expectedMs} ms expected for ${usualMs}`);
  }
});

test("good estimates are replaced", (t) => {
  const learner = new Learner();
  learner.play(60, (index) => {
    const estimateMs = 200 * 20 ** evenShare(index * 3);
    return { durationMs: around(estimateMs, index), estimateMs };
  });
  for (const estimateMs of [250, 1_000, 3_500]) {
    t.is(learner.expect(estimateMs).expectedMs, estimateMs);
  }
});

test("after a shift to a third, 24 further ends leave the old figure in use", (t) => {
  const learner = new Learner();
  learner.play(40, runsEstimatedAt(5, 1_500));
  t.true(isNear(learner.expect(7_500).expectedMs, 1_500));
  learner.play(24, (index) => ({ durationMs: around(500, index), estimateMs: 7_500 }));
  const { expectedMs } = learner.expect(7_500);
  t.true(isNear(expectedMs, 500), `${expectedMs} ms expected`);
});

test("one item in thirty that takes seven times as long raises what is expected", (t) => {
  const learner = new Learner();
  learner.play(90, (index) => ({
    durationMs: around(1_000, index) * (index % 30 === 29 ? 7 : 1),
    estimateMs: 300,
  }));
  const { expectedMs, upperMs } = learner.expect(300);
  t.true(isNear(expectedMs, 1_000), `${expectedMs} ms expected`);
  t.true(upperMs < 2_000, `${upperMs} ms at most`);
});

test("a kind that was never seen gets a figure of another queue", (t) => {
  const learner = new Learner();
  learner.play(40, runsEstimatedAt(5));
  const { expectedMs, kind, samples, ageMs } = learner.expect(5_000, "lots", "dies");
  t.is(expectedMs, 5_000);
  t.is(kind, null);
  t.is(samples, 0);
  t.is(ageMs, null);
});

test("a few ends outweigh the caller's estimate", (t) => {
  const learner = new Learner();
  learner.play(7, runsEstimatedAt(5));
  t.is(learner.expect(5_000).expectedMs, 5_000);
});

test("a new team's first submission gets nothing of what three others have shown", (t) => {
  const learner = new Learner();
  for (const team of ["one", "two", "three"]) {
    learner.play(12, runsEstimatedAt(5), team);
  }
  const { expectedMs } = learner.expect(5_000, "new");
  t.true(isNear(expectedMs, 1_000), `${expectedMs} ms expected`);
});

test("a team that lies and floods sets the figures of other teams", (t) => {
  const learner = new Learner();
  for (const team of ["one", "two"]) {
    learner.play(12, runsEstimatedAt(5), team);
  }
  // Its runs take as long as they like, and its estimates say anything.
  learner.play(
    500,
    (index) => ({
      durationMs: index % 2 === 0 ? 1 : 600_000,
      estimateMs: index % 3 === 0 ? 1 : 3_600_000,
    }),
    "liar",
  );
  const known = learner.expect(5_000, "one").expectedMs;
  t.true(isNear(known, 1_000), `${known} ms expected of a known team`);
  const unknown = learner.expect(5_000, "new").expectedMs;
  t.true(unknown >= 500 && unknown <= 5_000, `${unknown} ms expected of a new team`);
});

test("a single team decides what is expected of a team never seen", (t) => {
  const learner = new Learner();
  learner.play(500, runsEstimatedAt(100), "liar");
  t.is(learner.expect(5_000, "new").expectedMs, 5_000);
});

test("ends of the same step don't tell about its other items", (t) => {
  const learner = new Learner();
  const kind = kindOf();
  for (const durationMs of [900, 1_000, 1_100]) {
    learner.end(kind, durationMs, 200);
  }
  const { expectedMs, upperMs } = learner.estimates.expect(kind, 200, learner.nowMs);
  t.true(isNear(expectedMs, 1_000), `${expectedMs} ms expected`);
  t.true(upperMs >= expectedMs);
});

test("a step with many items counts as often as it has items", (t) => {
  const learner = new Learner();
  learner.play(12, runsEstimatedAt(5));
  const kind = kindOf();
  for (let index = 0; index < 200; index += 1) {
    learner.end(kind, 20_000, 5_000);
  }
  const { expectedMs } = learner.expect(5_000);
  t.true(isNear(expectedMs, 1_000), `${expectedMs} ms expected`);
});

test("the first runs of a step to end hide how long the others take", (t) => {
  const learner = new Learner();
  // All items of a step start at once, so that they end in the order of their durations.
  const durations = [600, 700, 800, 900, 1_000, 1_100, 1_200, 1_300, 1_400];
  for (let submission = 0; submission < 6; submission += 1) {
    const kind = kindOf();
    durations.forEach((durationMs) => {
      learner.end(kind, durationMs, 300);
    });
  }
  const kind = kindOf();
  for (const durationMs of durations.slice(0, 4)) {
    learner.end(kind, durationMs, 300);
  }
  const { upperMs } = learner.estimates.expect(kind, 300, learner.nowMs);
  t.true(upperMs >= 1_100, `${upperMs} ms at most`);
});

test("kinds without end take memory without end", (t) => {
  const learner = new Learner();
  for (let index = 0; index < 3 * SAMPLES.MAX_SUBMISSION_KINDS; index += 1) {
    learner.end(kindOf(`team ${index}`, `queue ${index}`), 1_000, 500);
  }
  const counts = new Map<string, number>();
  for (const { level } of learner.estimates.summary(learner.nowMs)) {
    counts.set(level, (counts.get(level) ?? 0) + 1);
  }
  t.deepEqual(Object.fromEntries(counts), {
    submission: SAMPLES.MAX_SUBMISSION_KINDS,
    step: SAMPLES.MAX_KINDS,
    team: SAMPLES.MAX_KINDS,
    queue: SAMPLES.MAX_KINDS,
  });
});

test("durations and estimates of zero make a figure that is no number", (t) => {
  const learner = new Learner();
  learner.play(30, (index) => ({ durationMs: index % 2, estimateMs: 0 }));
  const { expectedMs, upperMs } = learner.expect(0);
  t.true(Number.isFinite(expectedMs) && Number.isFinite(upperMs));
});
