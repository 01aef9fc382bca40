import test from "ava";
import { runForeignScenario } from "./foreignScenario.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "20");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

const requestedSeeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index);

// Guards against TWICE and LOST: entries of other writers end or hold back what runs on workers.
for (const seed of requestedSeeds) {
  test(`seed ${seed}: entries of other writers take workers out of use or run work twice`, (t) => {
    const site = runForeignScenario(seed);
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningAfterCancel(), []);
    t.true(site.starts > 50);
  });
}
