/**
 * One of several work items that last ends by itself, as `done`. It has to be restarted, however it
 * ended.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { configOf, pause, runCase, until } from "../stand-ins-2/site.mjs";

const here = dirname(fileURLToPath(import.meta.url));
const POOL = "desk";
const ID = "00000000000000b1";
const ITEMS = 4;
const ENDING = `${ID}.0.0.1`;
const DONE_AFTER_MS = 3_000;

/** The rule asks for a run from 6 s after the last one on, and looks at spans of 3 s. */
const RESTART_WITHIN_MS = 9_000;
const WATCHED_MS = 20_000;

const options = {
  root: join(here, "../.."),
  recordFile: join(here, "record.txt"),
  nodeNames: ["node-a", "node-b", "node-c"],
};

/** With TROUBLE=0 the case is played without its disruption. */
const trouble = process.env.TROUBLE !== "0";

await runCase(options, trouble, async (site) => {
  await site.start({
    config: configOf([POOL]),
    workers: [1, 2, 3].map((number) => ({
      id: `i-${number}`,
      pool: POOL,
      endsByItself: (task) =>
        trouble && task === ENDING && site.runs.every((run) => run.task !== ENDING),
    })),
  });
  const work = {
    spec: JSON.stringify({ workMs: null, doneAfterMs: DONE_AFTER_MS }),
    phases: [{ count: ITEMS, cpu: 2_000, memMb: 1_024, estimateMs: 500, longRunning: true }],
  };
  const { status } = await site.call("node-a", "POST", `/${POOL}/${ID}`, work);
  if (status !== 200) {
    throw new Error(`the submission was answered with ${status}`);
  }
  await until(() => site.runs.length >= ITEMS, 10_000, "all work items run");
  await pause(DONE_AFTER_MS + WATCHED_MS);
  await site.call("node-b", "GET", `/${POOL}/${ID}`, null);

  const [first, second] = site.runs.filter(({ task }) => task === ENDING);
  if (trouble && first.how !== "done") {
    throw new Error("the work item did not end by itself");
  }
  const waitedMs = (second?.fromMs ?? site.nowMs()) - (first.toMs ?? site.nowMs());
  return waitedMs > RESTART_WITHIN_MS
    ? { rule: "LOST", task: ENDING, endedAtMs: first.toMs, restarted: second ?? null, waitedMs }
    : null;
});
