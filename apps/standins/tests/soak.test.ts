import { spawn } from "node:child_process";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import test from "ava";
import type { SoakReport } from "../src/soak/types.js";

const PROGRAM = fileURLToPath(new URL("../src/main.js", import.meta.url));
const SETTINGS = fileURLToPath(new URL("../../soaks/twoPools.toml", import.meta.url));

const soakReport = async (seed: number): Promise<SoakReport> => {
  const args = [PROGRAM, "soak", "--settings", SETTINGS, "--seed", String(seed)];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
  const exited = once(child, "exit");
  const output = await text(child.stdout);
  await exited;
  return JSON.parse(output) as SoakReport;
};

/** Seeds of the short soak; one that ever failed stays. */
const SEEDS: readonly number[] = [1, 2];

for (const seed of SEEDS) {
  test.serial(`seed ${seed}: real processes lose, double or starve accepted work`, async (t) => {
    const report = await soakReport(seed);
    t.log(report.faults.join(", "));
    t.deepEqual(report.findings, []);
    t.true(report.accepted > 20);
    t.true(report.completed > 20);
  });
}
