import { rmSync } from "node:fs";
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpPlatformTable } from "@heatherferry/runners";
import { InstantHostPower, PlatformStandIn } from "@heatherferry/standins";
import { FORWARDING, FORWARDING_GOALS } from "./constants.js";
import { entrySettingsFile, fixtureWrite, SECRET } from "./fixture.js";
import { startEntry, startProcess, killAll } from "./processes.js";
import { MeasuredForwarder } from "./measuredForwarder.js";

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const waitUntilReady = async (admin: string): Promise<void> => {
  for (;;) {
    const response = await fetch(`http://${admin}/readyz`);
    if (response.status === 200) {
      return;
    }
    await sleep(50);
  }
};

const measure = async (bare: MeasuredForwarder, entry: MeasuredForwarder): Promise<void> => {
  for (const measured of [bare, entry]) {
    await measured.warmUp();
  }
  for (let round = 1; round <= FORWARDING.ROUNDS; round += 1) {
    for (const measured of [bare, entry]) {
      await measured.measureThroughput();
    }
    print(`throughput round ${round} of ${FORWARDING.ROUNDS}`);
  }
  const rate = entry.throughput * FORWARDING.LATENCY_LOAD_FRACTION;
  for (let round = 1; round <= FORWARDING.ROUNDS; round += 1) {
    for (const measured of [bare, entry]) {
      await measured.measureLatency(rate);
    }
    print(`latency round ${round} of ${FORWARDING.ROUNDS} at ${rate.toFixed(0)}/s`);
  }
};

const formatRow = (measured: MeasuredForwarder): string =>
  [
    measured.name.padEnd(16),
    measured.throughput.toFixed(0).padStart(8),
    measured.cpuUs.toFixed(0).padStart(11),
    measured.latencyMs(50).toFixed(2).padStart(9),
    measured.latencyMs(99).toFixed(2).padStart(9),
    String(measured.failures).padStart(9),
  ].join(" ");

const formatBound = (name: string, value: number, bound: number, met: boolean): string =>
  `${name.padEnd(40)} ${value.toFixed(3).padStart(8)}  bound ${bound}  ${met ? "met" : "NOT MET"}`;

const report = (bare: MeasuredForwarder, entry: MeasuredForwarder): void => {
  const { MIN_THROUGHPUT_RATIO, MAX_ADDED_P50_MS, MAX_ADDED_P99_MS } = FORWARDING_GOALS;
  const ratio = entry.throughput / bare.throughput;
  const perCore = bare.cpuUs / entry.cpuUs;
  const p50 = entry.latencyMs(50) - bare.latencyMs(50);
  const p99 = entry.latencyMs(99) - bare.latencyMs(99);
  print("");
  print(`${"".padEnd(16)}    req/s  CPU µs/req    p50 ms    p99 ms  failures`);
  print(formatRow(bare));
  print(formatRow(entry));
  print("");
  print(
    formatBound("throughput, ratio", ratio, MIN_THROUGHPUT_RATIO, ratio >= MIN_THROUGHPUT_RATIO),
  );
  print(
    formatBound(
      "requests per core, ratio",
      perCore,
      MIN_THROUGHPUT_RATIO,
      perCore >= MIN_THROUGHPUT_RATIO,
    ),
  );
  print(formatBound("added p50 at 70% load, ms", p50, MAX_ADDED_P50_MS, p50 < MAX_ADDED_P50_MS));
  print(formatBound("added p99 at 70% load, ms", p99, MAX_ADDED_P99_MS, p99 < MAX_ADDED_P99_MS));
};

const main = async (): Promise<void> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  const origin = `http://${await platform.listen()}`;
  const targets = await Promise.all(
    Array.from({ length: FORWARDING.TARGETS }, () => startProcess("targetProcess.js", [])),
  );
  const table = new HttpPlatformTable(origin, print);
  await table.write(fixtureWrite(targets.map(({ address }) => address)));
  await table.close();
  const settingsPath = entrySettingsFile(origin);
  const entryHost = await startEntry(settingsPath);
  rmSync(dirname(settingsPath), { recursive: true });
  await waitUntilReady(entryHost.admin);
  const forwarder = await startProcess(
    "bareForwarderProcess.js",
    targets.map(({ address }) => `http://${address}`),
  );
  const headers = { authorization: `Bearer ${SECRET}` };
  const bare = new MeasuredForwarder("bare forwarder", forwarder.pid, {
    origin: `http://${forwarder.address}`,
    path: "/x",
    headers: {},
  });
  const entry = new MeasuredForwarder("entry host", entryHost.pid, {
    origin: `http://${entryHost.callers}`,
    path: "/queues/bench/x",
    headers,
  });
  await measure(bare, entry);
  report(bare, entry);
  await Promise.all([bare.close(), entry.close()]);
  await platform.close();
};

try {
  await main();
} finally {
  killAll();
}
