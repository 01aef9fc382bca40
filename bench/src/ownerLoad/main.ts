import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { Callers, LOAD } from "./callers.js";
import { NodeProcess, type Metrics } from "./nodeProcess.js";
import { selfTimes, type SelfTime } from "./profile.js";
import { SITE, SiteStandIns } from "./site.js";

const RUN = {
  /** Warm-up, in which the runtime compiles the functions that run often. */
  WARM_UP_MS: 20_000,
  MEASURE_MS: 40_000,
  OWNER_MILLI: 1_350,
  FRONTENDS: 4,
  FRONTEND_MILLI: 324,
  MAX_COMPONENTS: 16,
  MAX_FUNCTIONS: 40,
} as const;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const seconds = RUN.MEASURE_MS / 1_000;

const printCells = (name: string, ...cells: readonly number[]): void => {
  print(name.padEnd(32) + cells.map((cell) => cell.toFixed(1).padStart(12)).join(""));
};

const increase = (before: Metrics, after: Metrics, series: string): number =>
  (after.get(series) ?? 0) - (before.get(series) ?? 0);

/** @returns Mean of the observations in all series of a histogram, in ms. */
const meanMs = (before: Metrics, after: Metrics, histogram: string): number => {
  const sum = (suffix: string): number =>
    [...after.keys()]
      .filter((series) => series.startsWith(`${histogram}_${suffix}`))
      .reduce((total, series) => total + increase(before, after, series), 0);
  return (1_000 * sum("sum")) / sum("count");
};

const processorMs = (before: Metrics, after: Metrics): number =>
  increase(before, after, "heatherferry_processor_seconds_total") * 1_000;

const printNode = (name: string, before: Metrics, after: Metrics): void => {
  const busyUs = (type: string, part: string): number =>
    increase(
      before,
      after,
      `heatherferry_event_busy_seconds_total{type="${type}",part="${part}"}`,
    ) * 1e6;
  const types = [...after.keys()].flatMap(
    (series) => /^heatherferry_events_total\{type="(.*)"\}$/u.exec(series)?.[1] ?? [],
  );
  const rows = types
    .map((type) => ({
      type,
      events: increase(before, after, `heatherferry_events_total{type="${type}"}`),
      reduceUs: busyUs(type, "reduce"),
      effectsUs: busyUs(type, "effects"),
    }))
    .filter(({ events }) => events > 0)
    .sort((one, other) => other.reduceUs + other.effectsUs - (one.reduceUs + one.effectsUs));
  const sumMs = (part: "reduceUs" | "effectsUs"): number =>
    rows.reduce((sum, row) => sum + row[part], 0) / 1_000 / seconds;
  const processorMsPerS = processorMs(before, after) / seconds;
  print(`\n${name}: ms per second`);
  printCells("  processor", processorMsPerS);
  printCells("  reducer", sumMs("reduceUs"));
  printCells("  start of effects", sumMs("effectsUs"));
  printCells("  other", processorMsPerS - sumMs("reduceUs") - sumMs("effectsUs"));
  printCells("  store commit, ms", meanMs(before, after, "heatherferry_store_commit_seconds"));
  printCells("  event loop lag, ms", meanMs(before, after, "heatherferry_loop_lag_seconds"));
  print("  event                           per second   us reduce  us effects");
  for (const { type, events, reduceUs, effectsUs } of rows) {
    printCells(`  ${type}`, events / seconds, reduceUs / events, effectsUs / events);
  }
};

const printShares = (title: string, times: readonly SelfTime[], maxCount: number): void => {
  print(`\n${title}: share and ms of self time`);
  for (const { name, ms, share } of times.slice(0, maxCount)) {
    print(`  ${(100 * share).toFixed(1).padStart(5)} %${ms.toFixed(0).padStart(8)}  ${name}`);
  }
};

const quantile = (sorted: readonly number[], part: number): number =>
  sorted[Math.floor(sorted.length * part)] ?? NaN;

const printService = (callers: Callers, starts: number, calls: number): void => {
  const stretches = [...callers.stretches].sort((one, other) => one - other);
  print("\nservice");
  printCells("  starts per second", starts / seconds);
  printCells("  store calls per second", calls / seconds);
  printCells("  accepted, refused, ended", callers.accepted, callers.refused, stretches.length);
  printCells("  stretch: median, 95%", quantile(stretches, 0.5), quantile(stretches, 0.95));
};

/**
 * Measures the processor time of the owner and of a frontend node under the load of a large site.
 *
 * @param share - Factor on the submission rates.
 * @param profileDir - Directory of the CPU profiles; null for none.
 */
const main = async (share: number, profileDir: string | null): Promise<void> => {
  if (profileDir !== null) {
    mkdirSync(profileDir, { recursive: true });
  }
  const site = new SiteStandIns();
  const storeAddress = await site.start();
  const nodes: NodeProcess[] = [];
  const startNode = async (name: string, processorMilli: number): Promise<NodeProcess> => {
    const node = await NodeProcess.start(name, storeAddress, processorMilli, profileDir);
    nodes.push(node);
    await node.waitUntilReady();
    return node;
  };
  try {
    const owner = await startNode("owner", RUN.OWNER_MILLI);
    const frontends: NodeProcess[] = [];
    while (frontends.length < RUN.FRONTENDS) {
      frontends.push(await startNode(`door-${frontends.length}`, RUN.FRONTEND_MILLI));
    }
    const [frontend = owner] = frontends;
    const callers = new Callers(frontends.map(({ callerUrl }) => callerUrl));
    await callers.submitLongRunning();
    const loaded = callers.generateLoad(RUN.WARM_UP_MS + RUN.MEASURE_MS, share);
    await sleep(RUN.WARM_UP_MS);
    const before = [await owner.metrics(), await frontend.metrics()] as const;
    const [startsBefore, callsBefore] = [site.startedItems, site.store.callCount];
    await loaded;
    const after = [await owner.metrics(), await frontend.metrics()] as const;
    printNode("owner", before[0], after[0]);
    const starts = site.startedItems - startsBefore;
    printCells("  processor per start, us", (1_000 * processorMs(before[0], after[0])) / starts);
    printNode(`one of ${RUN.FRONTENDS} frontend nodes`, before[1], after[1]);
    printService(callers, starts, site.store.callCount - callsBefore);
    await callers.close();
    await Promise.all(nodes.map(async (node) => node.stop()));
    for (const name of profileDir === null ? [] : ["owner", "door-0"]) {
      const times = selfTimes(join(profileDir ?? "", `${name}.cpuprofile`), RUN.WARM_UP_MS / 1_000);
      printShares(`${name}, components`, times.parts, RUN.MAX_COMPONENTS);
      printShares(`${name}, functions`, times.functions, RUN.MAX_FUNCTIONS);
    }
  } finally {
    nodes.forEach((node) => {
      node.kill();
    });
    await site.close();
  }
};

print(
  `${SITE.POOLS.length * SITE.WORKERS_PER_POOL} workers; ${LOAD.DEMANDS.length} queues, each with a peak of ${LOAD.PEAK_MS} ms in turn`,
);
const { values } = parseArgs({
  options: { share: { type: "string", default: "1" }, profile: { type: "string" } },
});
await main(Number(values.share), values.profile ?? null);
