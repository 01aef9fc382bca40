import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpPlatformTable } from "@heatherferry/runners";
import { InstantHostPower, PlatformStandIn } from "@heatherferry/standins";
import { processUse } from "../forwarding/cpuTime.js";
import { entrySettingsFile } from "../forwarding/fixture.js";
import { startEntry, stopAll } from "../forwarding/processes.js";
import { CONTROL_BUDGET } from "../slopes/designSize.js";
import { ControlLoad } from "./controlLoad.js";
import { CountingRelay } from "./countingRelay.js";

const SETTLE_MS = 10_000;
const MEASURE_MS = 60_000;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const sayAgainst = (name: string, value: number, unit: string, budget: number): void => {
  const met = value <= budget ? "met" : "NOT MET";
  say(
    `${name.padEnd(44)} ${value.toFixed(2).padStart(10)} ${unit.padEnd(8)} budget ${budget}  ${met}`,
  );
};

/** Measures one entry host without callers, under the control load of a zone of design size. */
const main = async (): Promise<void> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  const platformAddress = await platform.listen();
  const [host = "", port = ""] = platformAddress.split(":");
  const relay = new CountingRelay(host, Number(port));
  const relayAddress = await relay.listen();
  const table = new HttpPlatformTable(`http://${platformAddress}`, say);
  const load = new ControlLoad(table);
  await load.fill();
  const entry = await startEntry(entrySettingsFile(`http://${relayAddress}`, "e-4-0", "z4"));
  load.start();
  await sleep(SETTLE_MS);
  const before = { ...processUse(entry.pid), bytes: relay.bytes, atMs: performance.now() };
  const reads = platform.counters.rowsRead;
  say(`measuring for ${MEASURE_MS / 1_000} s`);
  await sleep(MEASURE_MS);
  const after = processUse(entry.pid);
  const elapsedMs = performance.now() - before.atMs;
  const cpuFraction = (after.cpuMs - before.cpuMs) / elapsedMs;
  sayAgainst(
    "processor, percent of a core",
    cpuFraction * 100,
    "%",
    CONTROL_BUDGET.CPU_FRACTION * 100,
  );
  sayAgainst("resident memory", after.residentBytes / 1e6, "MB", CONTROL_BUDGET.MEMORY_MB);
  const bytesPerSecond = ((relay.bytes - before.bytes) / elapsedMs) * 1_000;
  sayAgainst("bytes to and from the table", bytesPerSecond, "B/s", CONTROL_BUDGET.BYTES_A_SECOND);
  const rowsPerSecond = ((platform.counters.rowsRead - reads) / elapsedMs) * 1_000;
  say(`rows read ${rowsPerSecond.toFixed(2)} a second by this entry host`);
  load.stop();
  await table.close();
  relay.close();
  await platform.close();
};

try {
  await main();
} finally {
  stopAll();
}
