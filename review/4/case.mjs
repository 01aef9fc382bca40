// An executor starts again under its id. Within the next second the process that owns the work gets
// SIGTERM, as in a rolling restart. Two seconds later the executor is cut off, and runs on.
import { randomBytes } from "node:crypto";
import { BOUNDS, runCase, simpleConfig, TROUBLE } from "../lib/deployment.mjs";
import { sleep } from "../lib/http.mjs";

/** Bounds of the site, where they differ from the usual ones. */
const SITE_BOUNDS = {
  ...BOUNDS,
  holdMaxMs: 10_000,
  stopMs: 400,
  remoteFactor: 2,
  checkpointS: 0.5,
  restoreMs: 600,
};
const STORE_RATES = {
  writesPerS: 600,
  readsPerS: 2000,
  txMs: 6,
  commitsPerS: 200,
  rowBytes: 65536,
};

const EXECUTORS = 8;
const WHOLE_EXECUTOR = { cpu: 14_000, memMb: 1_024 };
/** Time for the clock of the executor's first life to get ahead of that of its second one. */
const FIRST_LIFE_MS = 15_000;
const DOWN_MS = 100;
const ENTRY_AFTER_MS = 500;
const SIGTERM_AFTER_MS = 900;
const CUT_AFTER_MS = 2_600;
const CUT_FOR_MS = 5_500;
const ROOM_AFTER_MS = 3_500;

const lasting = (count) => ({
  spec: JSON.stringify({ workMs: null }),
  phases: [{ count, ...WHOLE_EXECUTOR, longRunning: true }],
});

const lastsFor = (workMs) => ({
  spec: JSON.stringify({ workMs }),
  phases: [{ count: 1, ...WHOLE_EXECUTOR, estimateMs: workMs }],
});

runCase(import.meta.url, async (site) => {
  site.bounds = SITE_BOUNDS;
  site.storeRates = STORE_RATES;
  site.store.settings = STORE_RATES;
  site.writeConfig(simpleConfig(3));
  await site.addPool(EXECUTORS);
  await site.addNodes(3);
  if (!(await site.ready())) {
    return null;
  }
  const present = new Map();
  const overlaps = [];
  site.observers.push(({ what, executor, task, run }) => {
    if (what === "stop") {
      return;
    }
    const runs = present.get(task) ?? new Map();
    present.set(task, runs);
    if (what === "start") {
      for (const [other, otherExecutor] of runs) {
        overlaps.push({ task, run, executor, other, otherExecutor });
      }
      runs.set(run, executor);
    } else {
      runs.delete(run);
    }
  });
  const submit = async (work) => {
    const id = randomBytes(8).toString("hex");
    return (await site.submit(id, work)) === 200 ? id : null;
  };
  const runsOf = (id) =>
    [...site.executors.values()].filter((executor) =>
      executor.runs().some(({ task }) => task.startsWith(id)),
    );
  // All executors but two are taken for good, one is free again in time, one runs the work item.
  const others = await submit(lasting(EXECUTORS - 2));
  const until = FIRST_LIFE_MS + ROOM_AFTER_MS;
  const blocker = await submit(lastsFor(until));
  const id = await submit(lastsFor(60_000));
  const placed = await site.until(10, async () =>
    runsOf(id).length === 1 &&
    runsOf(blocker).length === 1 &&
    runsOf(others).length === EXECUTORS - 2
      ? true
      : null,
  );
  if (placed === null) {
    return null;
  }
  const [executor] = runsOf(id);
  site.record({ what: "placed", id, executor: executor.options.id });
  await sleep(FIRST_LIFE_MS);
  if (TROUBLE) {
    const owner = site.owner();
    site.record({ what: "executor starts again", executor: executor.options.id });
    void executor.restart(DOWN_MS, ENTRY_AFTER_MS, () => {
      site.store.put("servers", executor.options.id, executor.entry());
    });
    await sleep(SIGTERM_AFTER_MS);
    owner.signal("SIGTERM");
    await sleep(CUT_AFTER_MS - SIGTERM_AFTER_MS);
    site.record({ what: "executor cut off", executor: executor.options.id });
    executor.isCut = true;
    await sleep(CUT_FOR_MS);
    executor.isCut = false;
    site.record({ what: "executor reached again", executor: executor.options.id });
  }
  await sleep(8_000);
  for (const overlap of overlaps) {
    site.record({ what: "two runs at the same time", ...overlap });
  }
  return {
    broken: overlaps.length > 0,
    text: `${overlaps.length} starts of a work item while another run of it was at work`,
  };
});
