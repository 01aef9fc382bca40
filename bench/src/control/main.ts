import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpPlatformTable } from "@heatherferry/runners";
import { InstantHostPower, PlatformStandIn } from "@heatherferry/standins";
import { processUsage, type ProcessUsage } from "../forwarding/processUsage.js";
import { entrySettingsFile, maintainerSettingsFile } from "../forwarding/fixture.js";
import { startEntry, startMaintainer, killAll } from "../forwarding/processes.js";
import { CONTROL_BUDGET, DESIGN_SIZE } from "../slopes/designSize.js";
import { ControlLoad, MEASURED_ZONE } from "./controlLoad.js";

const SETTLING_MS = 30_000;
const MEASUREMENT_MS = 60_000;
const MS_PER_SECOND = 1_000;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Resources that a process uses during the measurement. */
interface Usage {
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly bytesPerSecond: number;
}

const usageBetween = (before: ProcessUsage, after: ProcessUsage, elapsedMs: number): Usage => ({
  cpuPercent: ((after.cpuMs - before.cpuMs) / elapsedMs) * 100,
  residentMb: after.residentBytes / 1e6,
  bytesPerSecond: ((after.ioBytes - before.ioBytes) / elapsedMs) * MS_PER_SECOND,
});

const printUsage = (name: string, usage: Usage): void => {
  const { cpuPercent, residentMb, bytesPerSecond } = usage;
  print(
    `${name.padEnd(24)} ${cpuPercent.toFixed(2).padStart(8)} ${residentMb.toFixed(1).padStart(10)} ` +
      bytesPerSecond.toFixed(0).padStart(10),
  );
};

const measureAll = async (pids: ReadonlyMap<string, number>): Promise<Map<string, Usage>> => {
  const startMs = performance.now();
  const before = new Map([...pids].map(([name, pid]) => [name, processUsage(pid)]));
  await sleep(MEASUREMENT_MS);
  const elapsedMs = performance.now() - startMs;
  const usages = new Map<string, Usage>();
  for (const [name, pid] of pids) {
    const earlier = before.get(name);
    if (earlier !== undefined) {
      usages.set(name, usageBetween(earlier, processUsage(pid), elapsedMs));
    }
  }
  return usages;
};

const startZone = async (origin: string): Promise<Map<string, number>> => {
  const zone = `z${MEASURED_ZONE}`;
  const pids = new Map<string, number>();
  for (let index = 0; index < DESIGN_SIZE.ENTRY_HOSTS_PER_ZONE; index += 1) {
    const id = `e-${MEASURED_ZONE}-${index}`;
    const entry = await startEntry(entrySettingsFile(origin, id, zone));
    pids.set(`entry ${id}`, entry.pid);
  }
  const id = `e-${MEASURED_ZONE}-0`;
  const maintainer = await startMaintainer(maintainerSettingsFile(origin, id, zone));
  pids.set("maintainer, all leases", maintainer.pid);
  return pids;
};

/** Measures the daemons of one zone without callers, under the control load of the design size. */
const main = async (): Promise<void> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  const origin = `http://${await platform.listen()}`;
  const table = new HttpPlatformTable(origin, print);
  const load = new ControlLoad(table);
  await load.fillTable();
  const pids = await startZone(origin);
  load.start();
  print(`settling for ${SETTLING_MS / MS_PER_SECOND} s`);
  await sleep(SETTLING_MS);
  const counters = { ...platform.counters };
  print(`measuring for ${MEASUREMENT_MS / MS_PER_SECOND} s`);
  const usages = await measureAll(pids);
  print(`${"".padEnd(24)}    cpu %         MB        B/s`);
  usages.forEach((usage, name) => {
    printUsage(name, usage);
  });
  const { CPU_FRACTION, MEMORY_MB, BYTES_PER_SECOND } = CONTROL_BUDGET;
  print(
    `budget per node ${"".padEnd(8)} ${(CPU_FRACTION * 100).toFixed(2).padStart(8)} ${MEMORY_MB.toFixed(1).padStart(10)} ${String(BYTES_PER_SECOND).padStart(10)}`,
  );
  const perSecond = (name: "reads" | "rowsRead" | "writes"): string =>
    (((platform.counters[name] - counters[name]) / MEASUREMENT_MS) * MS_PER_SECOND).toFixed(1);
  print(
    `table: ${perSecond("reads")} reads, ${perSecond("rowsRead")} rows read, ${perSecond("writes")} writes per second`,
  );
  load.stop();
  await table.close();
  await platform.close();
};

try {
  await main();
} finally {
  killAll();
}
