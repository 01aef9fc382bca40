import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { Callers, LOAD } from "./callers.js";
import { LoadedNode, type Metrics } from "./node.js";
import { selfTimes, type SelfTime } from "./profile.js";
import { SITE, SiteStandIns } from "./site.js";

const RUN = {
  /** Time for the runtime to compile what runs often. */
  WARM_MS: 20_000,
  MEASURE_MS: 40_000,
  OWNER_MILLI: 1_350,
  DOORS: 4,
  DOOR_MILLI: 324,
  MOST_PARTS: 16,
  MOST_FUNCTIONS: 40,
} as const;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const seconds = RUN.MEASURE_MS / 1_000;

const sayCells = (name: string, ...cells: readonly number[]): void => {
  say(name.padEnd(32) + cells.map((cell) => cell.toFixed(1).padStart(12)).join(""));
};

const since = (before: Metrics, after: Metrics, series: string): number =>
  (after.get(series) ?? 0) - (before.get(series) ?? 0);

/** Over all series of a histogram. */
const meanMs = (before: Metrics, after: Metrics, histogram: string): number => {
  const sum = (suffix: string): number =>
    [...after.keys()]
      .filter((series) => series.startsWith(`${histogram}_${suffix}`))
      .reduce((total, series) => total + since(before, after, series), 0);
  return (1_000 * sum("sum")) / sum("count");
};

const processorMs = (before: Metrics, after: Metrics): number =>
  since(before, after, "heatherferry_processor_seconds_total") * 1_000;

const sayNode = (name: string, before: Metrics, after: Metrics): void => {
  const busyUs = (type: string, part: string): number =>
    since(before, after, `heatherferry_event_busy_seconds_total{type="${type}",part="${part}"}`) *
    1e6;
  const types = [...after.keys()].flatMap(
    (series) => /^heatherferry_events_total\{type="(.*)"\}$/u.exec(series)?.[1] ?? [],
  );
  const rows = types
    .map((type) => ({
      type,
      events: since(before, after, `heatherferry_events_total{type="${type}"}`),
      reduceUs: busyUs(type, "reduce"),
      effectsUs: busyUs(type, "effects"),
    }))
    .filter(({ events }) => events > 0)
    .sort((one, other) => other.reduceUs + other.effectsUs - (one.reduceUs + one.effectsUs));
  const sumMs = (part: "reduceUs" | "effectsUs"): number =>
    rows.reduce((sum, row) => sum + row[part], 0) / 1_000 / seconds;
  const usedMs = processorMs(before, after) / seconds;
  say(`\n${name}: ms a second`);
  sayCells("  processor", usedMs);
  sayCells("  decisions", sumMs("reduceUs"));
  sayCells("  beginning of effects", sumMs("effectsUs"));
  sayCells("  all else", usedMs - sumMs("reduceUs") - sumMs("effectsUs"));
  sayCells("  answer of a write, ms", meanMs(before, after, "heatherferry_store_commit_seconds"));
  sayCells("  lateness of the clock, ms", meanMs(before, after, "heatherferry_loop_lag_seconds"));
  say("  event                             a second   us decide  us effects");
  for (const { type, events, reduceUs, effectsUs } of rows) {
    sayCells(`  ${type}`, events / seconds, reduceUs / events, effectsUs / events);
  }
};

const sayShares = (title: string, times: readonly SelfTime[], most: number): void => {
  say(`\n${title}: share and ms of self time`);
  for (const { name, ms, share } of times.slice(0, most)) {
    say(`  ${(100 * share).toFixed(1).padStart(5)} %${ms.toFixed(0).padStart(8)}  ${name}`);
  }
};

const quantile = (sorted: readonly number[], part: number): number =>
  sorted[Math.floor(sorted.length * part)] ?? NaN;

const sayService = (callers: Callers, starts: number, calls: number): void => {
  const stretches = [...callers.stretches].sort((one, other) => one - other);
  say("\nservice");
  sayCells("  starts a second", starts / seconds);
  sayCells("  calls to the store a second", calls / seconds);
  sayCells("  accepted, refused, ended", callers.accepted, callers.refused, stretches.length);
  sayCells("  stretch: middle, 95%", quantile(stretches, 0.5), quantile(stretches, 0.95));
};

/**
 * Measures what the owner and a node at the door take under the load of a site.
 *
 * @param share - Share of the load that is handed in.
 * @param profileDir - Where profiles go; null for none.
 */
const main = async (share: number, profileDir: string | null): Promise<void> => {
  if (profileDir !== null) {
    mkdirSync(profileDir, { recursive: true });
  }
  const site = new SiteStandIns();
  const storeAt = await site.start();
  const nodes: LoadedNode[] = [];
  const startNode = async (name: string, processorMilli: number): Promise<LoadedNode> => {
    const node = await LoadedNode.start(name, storeAt, processorMilli, profileDir);
    nodes.push(node);
    await node.untilReady();
    return node;
  };
  try {
    const owner = await startNode("owner", RUN.OWNER_MILLI);
    const doors: LoadedNode[] = [];
    while (doors.length < RUN.DOORS) {
      doors.push(await startNode(`door-${doors.length}`, RUN.DOOR_MILLI));
    }
    const [door = owner] = doors;
    const callers = new Callers(doors.map(({ callersAt }) => callersAt));
    await callers.begin();
    const loaded = callers.load(RUN.WARM_MS + RUN.MEASURE_MS, share);
    await sleep(RUN.WARM_MS);
    const before = [await owner.metrics(), await door.metrics()] as const;
    const [startsBefore, callsBefore] = [site.starts, site.store.calls];
    await loaded;
    const after = [await owner.metrics(), await door.metrics()] as const;
    sayNode("owner", before[0], after[0]);
    const starts = site.starts - startsBefore;
    sayCells("  processor for a start, us", (1_000 * processorMs(before[0], after[0])) / starts);
    sayNode(`one of ${RUN.DOORS} doors`, before[1], after[1]);
    sayService(callers, starts, site.store.calls - callsBefore);
    await callers.close();
    await Promise.all(nodes.map(async (node) => node.stop()));
    for (const name of profileDir === null ? [] : ["owner", "door-0"]) {
      const times = selfTimes(join(profileDir ?? "", `${name}.cpuprofile`), RUN.WARM_MS / 1_000);
      sayShares(`${name}, parts`, times.parts, RUN.MOST_PARTS);
      sayShares(`${name}, functions`, times.functions, RUN.MOST_FUNCTIONS);
    }
  } finally {
    nodes.forEach((node) => {
      node.kill();
    });
    await site.close();
  }
};

say(
  `${SITE.POOLS.length * SITE.WORKERS_A_POOL} workers; ${LOAD.DEMANDS.length} queues, each in its turn of ${LOAD.TURN_MS} ms`,
);
const { values } = parseArgs({
  options: { share: { type: "string", default: "1" }, profile: { type: "string" } },
});
await main(Number(values.share), values.profile ?? null);
