import test from "ava";
import { playRoomDay } from "./chaosDay.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "20");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

const drawn = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index);

/** Days of two kinds, with the seeds that failed once. */
const DAYS = [
  { kindsChange: false, of: "a worker", seeds: new Set([...drawn, 2, 18, 49, 50, 287]) },
  {
    kindsChange: true,
    of: "a worker that came back as another kind",
    seeds: new Set([...drawn, 5, 21, 32, 41]),
  },
];

for (const { kindsChange, of, seeds } of DAYS) {
  for (const seed of seeds) {
    test(`seed ${seed}: ${of} is given more than it has room for`, (t) => {
      const site = playRoomDay(seed, kindsChange);
      t.deepEqual(site.unfinished(), []);
      t.deepEqual(site.runningThoughCancelled(), []);
      t.true(site.starts > 50);
    });
  }
}
