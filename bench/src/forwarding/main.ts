import { rmSync } from "node:fs";
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpPlatformTable } from "@heatherferry/runners";
import { InstantHostPower, PlatformStandIn } from "@heatherferry/standins";
import type { Histogram } from "hdr-histogram-js";
import { CpuTimeNote } from "./cpuTime.js";
import { FORWARDING, FORWARDING_TARGET } from "./constants.js";
import { entrySettingsFile, fixtureWrite, SECRET } from "./fixture.js";
import { latencyHistogram, LoadGenerator } from "./load.js";
import { startEntry, startListening, stopAll } from "./processes.js";

const US_PER_MS = 1_000;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const percentileMs = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / US_PER_MS;

interface Subject {
  readonly load: LoadGenerator;
  readonly throughputs: number[];
  readonly latencies: Histogram;
}

const subjectOf = (load: LoadGenerator): Subject => ({
  load,
  throughputs: [],
  latencies: latencyHistogram(),
});

const waitForRules = async (admin: string): Promise<void> => {
  for (;;) {
    const response = await fetch(`http://${admin}/readyz`);
    if (response.status === 200) {
      return;
    }
    await sleep(50);
  }
};

const measure = async (bare: Subject, entry: Subject): Promise<void> => {
  for (const { load } of [bare, entry]) {
    await load.measureThroughput(FORWARDING.WARM_UP_MS);
  }
  for (let round = 0; round < FORWARDING.ROUNDS; round += 1) {
    for (const { load, throughputs } of [bare, entry]) {
      throughputs.push(await load.measureThroughput(FORWARDING.ROUND_MS));
    }
    say(`throughput round ${round + 1} of ${FORWARDING.ROUNDS}`);
  }
  const rate = median(entry.throughputs) * FORWARDING.LATENCY_LOAD;
  for (let round = 0; round < FORWARDING.ROUNDS; round += 1) {
    for (const { load, latencies } of [bare, entry]) {
      await load.measureLatency(rate, FORWARDING.ROUND_MS, latencies);
    }
    say(`latency round ${round + 1} of ${FORWARDING.ROUNDS} at ${rate.toFixed(0)}/s`);
  }
};

const row = (subject: Subject): string => {
  const { load, throughputs, latencies } = subject;
  const perSecond = median(throughputs).toFixed(0).padStart(8);
  const p50 = percentileMs(latencies, 50).toFixed(2).padStart(9);
  const p99 = percentileMs(latencies, 99).toFixed(2).padStart(9);
  return `${load.name.padEnd(16)} ${perSecond} ${p50} ${p99} ${String(load.failures).padStart(9)}`;
};

const verdict = (name: string, value: number, bound: number, met: boolean): string =>
  `${name.padEnd(40)} ${value.toFixed(3).padStart(8)}  target ${bound}  ${met ? "met" : "NOT MET"}`;

const report = (bare: Subject, entry: Subject): void => {
  const ratio = median(entry.throughputs) / median(bare.throughputs);
  const added = (percentile: number): number =>
    percentileMs(entry.latencies, percentile) - percentileMs(bare.latencies, percentile);
  const { MIN_THROUGHPUT_RATIO, MAX_ADDED_P50_MS, MAX_ADDED_P99_MS } = FORWARDING_TARGET;
  say("");
  say(`${"".padEnd(16)}    req/s    p50 ms    p99 ms  failures`);
  say(row(bare));
  say(row(entry));
  say("");
  const isFastEnough = ratio >= MIN_THROUGHPUT_RATIO;
  say(verdict("throughput against the bare forwarder", ratio, MIN_THROUGHPUT_RATIO, isFastEnough));
  say(
    verdict("added p50 at 70% load, ms", added(50), MAX_ADDED_P50_MS, added(50) < MAX_ADDED_P50_MS),
  );
  say(
    verdict("added p99 at 70% load, ms", added(99), MAX_ADDED_P99_MS, added(99) < MAX_ADDED_P99_MS),
  );
};

const main = async (): Promise<void> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  await platform.listen();
  const origin = `http://${platform.address}`;
  const targets = await Promise.all(
    Array.from({ length: FORWARDING.TARGETS }, () => startListening("targetProcess.js", [])),
  );
  const table = new HttpPlatformTable(origin, say);
  await table.write(fixtureWrite(targets));
  await table.close();
  const settingsPath = entrySettingsFile(origin);
  const entryHost = await startEntry(settingsPath);
  rmSync(dirname(settingsPath), { recursive: true });
  await waitForRules(entryHost.admin);
  const bareAddress = await startListening(
    "bareForwarderProcess.js",
    targets.map((target) => `http://${target}`),
  );
  const headers = { authorization: `Bearer ${SECRET}` };
  const bare = subjectOf(new LoadGenerator("bare forwarder", `http://${bareAddress}`, "/x", {}));
  const entry = subjectOf(
    new LoadGenerator("entry host", `http://${entryHost.callers}`, "/queues/bench/x", headers),
  );
  const cpu = new CpuTimeNote(entryHost.pid);
  await measure(bare, entry);
  report(bare, entry);
  say(cpu.summary());
  await Promise.all([bare.load.close(), entry.load.close()]);
  await platform.close();
};

try {
  await main();
} finally {
  stopAll();
}
