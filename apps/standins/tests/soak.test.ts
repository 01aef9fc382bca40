import { spawn } from "node:child_process";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import test from "ava";
import type { SoakReport } from "../src/soak/types.js";

const PROGRAM = fileURLToPath(new URL("../src/main.js", import.meta.url));

const soakReport = async (settings: string, seed: number): Promise<SoakReport> => {
  const path = fileURLToPath(new URL(`../../soaks/${settings}`, import.meta.url));
  const args = [PROGRAM, "soak", "--settings", path, "--seed", String(seed)];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
  const exited = once(child, "exit");
  const output = await text(child.stdout);
  await exited;
  return JSON.parse(output) as SoakReport;
};

/** Soaks of the suite; a seed that ever failed stays, with its cause. */
const CASES = [
  { settings: "twoPools.toml", seed: 1, failure: "lose, double or starve accepted work" },
  { settings: "twoPools.toml", seed: 2, failure: "lose, double or starve accepted work" },
  // Starved 110 submissions on db27e81: failures suspended all workers of the pool.
  { settings: "failingWork.toml", seed: 1, failure: "starve work beside work that fails" },
  // Started 18 items after their acknowledged ends: calls reached the next life of a worker.
  { settings: "recutWorkers.toml", seed: 2, failure: "double work of workers that restart" },
] as const;

for (const { settings, seed, failure } of CASES) {
  test.serial(`${settings}, seed ${seed}: real processes ${failure}`, async (t) => {
    const report = await soakReport(settings, seed);
    t.log(report.faults.join(", "));
    t.deepEqual(report.findings, []);
    t.true(report.accepted > 20);
    t.true(report.completed > 20);
  });
}
