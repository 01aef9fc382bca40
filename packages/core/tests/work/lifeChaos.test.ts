import test from "ava";
import { runRestartScenario } from "./chaosScenarios.js";

const SEEDS = Number(process.env.WORK_SEEDS ?? "20");
const FIRST_SEED = Number(process.env.WORK_FIRST_SEED ?? "1");

/** Seeds that have failed before, run every time. */
const KNOWN_SEEDS = [109, 116, 137, 177, 191, 202, 236, 245, 253, 257, 266, 297, 299, 357, 366];

const requestedSeeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index);

for (const seed of new Set([...requestedSeeds, ...KNOWN_SEEDS])) {
  test(`seed ${seed}: workers restart, and orders to one incarnation reach the next`, (t) => {
    const site = runRestartScenario(seed);
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningAfterCancel(), []);
    t.true(site.starts > 50);
  });
}

/** Seeds that have failed while calls reached any incarnation at the address of a worker. */
const FORGETTING_SEEDS = [100, 105, 107, 108, 111, 116, 119, 121, 123, 125];

// Guards against TWICE: an acknowledgement that was meant for the incarnation before lets the next
// one forget ends of its own that nobody has heard of.
for (const seed of new Set([...requestedSeeds, ...FORGETTING_SEEDS])) {
  test(`seed ${seed}: ends are forgotten that come after an acknowledgement of as many`, (t) => {
    const site = runRestartScenario(seed, (prepared) => {
      prepared.workersForgetLaterEnds = true;
      prepared.bindsCalls = true;
    });
    t.deepEqual(site.unfinished(), []);
    t.deepEqual(site.runningAfterCancel(), []);
    t.true(site.starts > 50);
  });
}
