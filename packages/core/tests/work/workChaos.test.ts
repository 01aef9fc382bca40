import test from "ava";
import { playDay } from "./chaosDay.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "40");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

test("a calm day ends with everything done and nothing started twice", (t) => {
  const site = playDay(7, 0);
  t.deepEqual(site.unfinished(), []);
  t.true(site.accepted.size > 50);
});

/** Days on which a promise was broken once. */
const BROKEN_ONCE: readonly number[] = [42];

const seeds = new Set([
  ...Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index),
  ...BROKEN_ONCE,
]);

for (const seed of seeds) {
  test(`seed ${seed}: promises hold through kills, freezes, cuts and a failing store`, (t) => {
    const site = playDay(seed, 6);
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningThoughCancelled(), []);
    t.true(site.starts > 50);
  });
}
