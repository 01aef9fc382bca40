import { RESTART_FAULTS, runScenario, workerOf, type Fault } from "./chaosScenarios.js";
import type { WorkSite } from "./workSite.js";

/** Entries of other writers for hosts and under ids of workers, and workers that restart meanwhile. */
const FOREIGN_FAULTS: readonly Fault[] = [
  (site) => {
    const worker = workerOf(site);
    site.registerForeignEntry(worker, `agent-${worker}`, 1_000 + site.randomBelow(8_000));
  },
  (site) => {
    const worker = workerOf(site);
    site.registerForeignEntry(worker, worker, 1_000 + site.randomBelow(8_000));
  },
  (site) => {
    const worker = workerOf(site);
    site.registerForeignEntry(worker, worker, 1_000 + site.randomBelow(4_000));
    site.restartWorker(worker, 1 + site.randomBelow(2_000), site.randomChance(50));
  },
  ...RESTART_FAULTS,
];

/**
 * Runs a scenario in which other writers register entries for hosts and ids of workers, while workers
 * restart and owners change.
 */
export const runForeignScenario = (seed: number): WorkSite =>
  runScenario(seed, 24, FOREIGN_FAULTS, (site) => {
    site.routesByAddress = true;
    site.slowAnswerPercent = 20;
    site.pollsWait = true;
  });
