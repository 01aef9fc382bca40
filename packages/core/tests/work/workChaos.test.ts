import test from "ava";
import { playDay, TROUBLE } from "./chaosDay.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "40");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

test("a calm day ends with everything done and nothing started twice", (t) => {
  const site = playDay(7, 0, TROUBLE);
  t.deepEqual(site.unfinished(), []);
  t.true(site.accepted.size > 50);
});

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
  test(`seed ${seed}: promises hold through kills, freezes, cuts and a failing store`, (t) => {
    const site = playDay(seed, 6, TROUBLE);
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningThoughCancelled(), []);
    t.true(site.starts > 50);
  });
}
