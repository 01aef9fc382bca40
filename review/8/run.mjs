/**
 * An executor is lost for good, and the machines of the system are stopped and started in turn, each
 * time the one that leads. A work item that lasts ran on that executor and has to run again.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { configOf, pause, runCase, until } from "../stand-ins-2/site.mjs";

const here = dirname(fileURLToPath(import.meta.url));
const POOL = "desk";
const ID = "00000000000000a1";
const ITEMS = 3;
const RESTARTS = 4;
const GAP_MS = 3_000;
const FIRST_RESTART_AFTER_MS = 1_000;
/** A work item that lasts may be without a run for 6 s, and for 3 s after them. */
const MOST_MS = 9_000;

/** The worker is lost without restarts, to tell what they add. */
const ONLY_LOSS = process.env.RESTARTS === "0";

const options = {
  root: join(here, "../.."),
  recordFile: join(here, "record.txt"),
  nodeNames: ["node-a", "node-b", "node-c", "node-d"],
};

await runCase(options, async (site, trouble) => {
  await site.start({
    config: configOf([POOL]),
    workers: [1, 2, 3, 4, 5].map((number) => ({ id: `i-${number}`, pool: POOL })),
  });
  const phase = {
    count: ITEMS,
    cpu: 1_000,
    memMb: 1_024,
    estimateMs: 500,
    longRunning: true,
    antiAffinity: 1,
  };
  const work = { spec: JSON.stringify({ workMs: null }), phases: [phase] };
  const { status } = await site.call("node-a", "POST", `/${POOL}/${ID}`, work);
  if (status !== 200) {
    throw new Error(`the submission was answered with ${status}`);
  }
  await until(() => site.runs.length === ITEMS, 10_000, "all work items run");
  await pause(3_000);
  const [lostRun] = site.runs;
  if (trouble) {
    site.loseWorker(site.workers.find(({ id }) => id === lostRun.worker));
    await pause(FIRST_RESTART_AFTER_MS);
    for (let restart = 0; restart < RESTARTS; restart += 1) {
      if (!ONLY_LOSS) {
        site.signal(site.store.leader(), "SIGTERM");
      }
      await pause(GAP_MS);
    }
  }
  await pause(12_000);
  if (!trouble) {
    return site.runs.every(({ toMs }) => toMs === null) ? null : { rule: "LOST", runs: site.runs };
  }
  const next = site.runs.find(({ task, run }) => task === lostRun.task && run > lostRun.run);
  const waitedMs = (next?.fromMs ?? site.nowMs()) - lostRun.toMs;
  return waitedMs > MOST_MS
    ? { rule: "LOST", task: lostRun.task, lostAtMs: lostRun.toMs, next: next ?? null, waitedMs }
    : null;
});
