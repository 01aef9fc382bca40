import test from "ava";
import { runStoreScenario } from "./chaosScenarios.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "40");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

test("a scenario without faults ends with all work done and nothing started twice", (t) => {
  const site = runStoreScenario(7, 0);
  t.deepEqual(site.unfinished(), []);
  t.true(site.accepted.size > 50);
});

/** Seeds whose scenario violated an invariant once. */
const REGRESSION_SEEDS: readonly number[] = [42];

const seeds = new Set([
  ...Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index),
  ...REGRESSION_SEEDS,
]);

for (const seed of seeds) {
  test(`seed ${seed}: invariants hold through kills, suspensions, network cuts and a failing store`, (t) => {
    const site = runStoreScenario(seed, 6);
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningAfterCancel(), []);
    t.true(site.starts > 50);
  });
}
