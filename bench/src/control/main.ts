import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpPlatformTable } from "@heatherferry/runners";
import { InstantHostPower, PlatformStandIn } from "@heatherferry/standins";
import { processUse, type ProcessUse } from "../forwarding/cpuTime.js";
import { entrySettingsFile, maintainerSettingsFile } from "../forwarding/fixture.js";
import { startEntry, startMaintainer, stopAll } from "../forwarding/processes.js";
import { CONTROL_BUDGET, DESIGN_SIZE } from "../slopes/designSize.js";
import { ControlLoad, MEASURED_ZONE } from "./controlLoad.js";

const SETTLE_MS = 30_000;
const MEASURE_MS = 60_000;
const MS_PER_SECOND = 1_000;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** What a process spent in the time measured. */
interface Spent {
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly bytesPerSecond: number;
}

const spentBetween = (before: ProcessUse, after: ProcessUse, elapsedMs: number): Spent => ({
  cpuPercent: ((after.cpuMs - before.cpuMs) / elapsedMs) * 100,
  residentMb: after.residentBytes / 1e6,
  bytesPerSecond: ((after.ioBytes - before.ioBytes) / elapsedMs) * MS_PER_SECOND,
});

const saySpent = (name: string, spent: Spent): void => {
  const { cpuPercent, residentMb, bytesPerSecond } = spent;
  say(
    `${name.padEnd(24)} ${cpuPercent.toFixed(2).padStart(8)} ${residentMb.toFixed(1).padStart(10)} ` +
      bytesPerSecond.toFixed(0).padStart(10),
  );
};

const measureAll = async (pids: ReadonlyMap<string, number>): Promise<Map<string, Spent>> => {
  const startMs = performance.now();
  const before = new Map([...pids].map(([name, pid]) => [name, processUse(pid)]));
  await sleep(MEASURE_MS);
  const elapsedMs = performance.now() - startMs;
  const spent = new Map<string, Spent>();
  for (const [name, pid] of pids) {
    const earlier = before.get(name);
    if (earlier !== undefined) {
      spent.set(name, spentBetween(earlier, processUse(pid), elapsedMs));
    }
  }
  return spent;
};

const startZone = async (origin: string): Promise<Map<string, number>> => {
  const zone = `z${MEASURED_ZONE}`;
  const pids = new Map<string, number>();
  for (let index = 0; index < DESIGN_SIZE.ENTRY_HOSTS_A_ZONE; index += 1) {
    const id = `e-${MEASURED_ZONE}-${index}`;
    const entry = await startEntry(entrySettingsFile(origin, id, zone));
    pids.set(`entry ${id}`, entry.pid);
  }
  const id = `e-${MEASURED_ZONE}-0`;
  const maintainer = await startMaintainer(maintainerSettingsFile(origin, id, zone));
  pids.set("maintainer, all leases", maintainer.pid);
  return pids;
};

/** Measures a zone's daemons without callers, under the control load of the design size. */
const main = async (): Promise<void> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  const origin = `http://${await platform.listen()}`;
  const table = new HttpPlatformTable(origin, say);
  const load = new ControlLoad(table);
  await load.fill();
  const pids = await startZone(origin);
  load.start();
  say(`settling for ${SETTLE_MS / MS_PER_SECOND} s`);
  await sleep(SETTLE_MS);
  const counters = { ...platform.counters };
  say(`measuring for ${MEASURE_MS / MS_PER_SECOND} s`);
  const spent = await measureAll(pids);
  say(`${"".padEnd(24)}    cpu %         MB        B/s`);
  spent.forEach((one, name) => {
    saySpent(name, one);
  });
  const { CPU_FRACTION, MEMORY_MB, BYTES_A_SECOND } = CONTROL_BUDGET;
  say(
    `budget of a node${"".padEnd(8)} ${(CPU_FRACTION * 100).toFixed(2).padStart(8)} ${MEMORY_MB.toFixed(1).padStart(10)} ${String(BYTES_A_SECOND).padStart(10)}`,
  );
  const perSecond = (name: "reads" | "rowsRead" | "writes"): string =>
    (((platform.counters[name] - counters[name]) / MEASURE_MS) * MS_PER_SECOND).toFixed(1);
  say(
    `table: ${perSecond("reads")} reads, ${perSecond("rowsRead")} rows read, ${perSecond("writes")} writes a second`,
  );
  load.stop();
  await table.close();
  await platform.close();
};

try {
  await main();
} finally {
  stopAll();
}
