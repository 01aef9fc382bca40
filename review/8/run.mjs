/**
 * The store loses answers for some seconds. A client whose hand-in has no answer within its time
 * budget cancels it at another machine, and is told that there is no such submission.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, configOf, pause, runCase } from "../stand-ins-2/site.mjs";

const here = dirname(fileURLToPath(import.meta.url));
const POOL = "desk";
const TIME_BUDGET_MS = 3_000;
/** The day's doses: `platform_lost`, x = 0.35, for_s = 4.5, how = "late". */
const LOST_SHARE = 0.35;
const LOST_FOR_MS = 4_500;
const SUBMISSIONS = 450;
const GAP_MS = 10;
const WORK_MS = 25_000;
/** Writes are done 6 s late at most. */
const LATEST_WRITE_MS = 6_000;

const options = {
  root: join(here, "../.."),
  recordFile: join(here, "record.txt"),
  nodeNames: ["node-a", "node-b", "node-c"],
};

/** Draws of one sequence, the same in each run. */
const newDraw = (seed) => {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
};

const idOf = (number) => number.toString(16).padStart(16, "0");

/** With TROUBLE=0 the case is played without its disruption. */
const trouble = process.env.TROUBLE !== "0";

await runCase(options, trouble, async (site) => {
  await site.start({
    config: configOf([POOL], { weight: 200 }),
    workers: [1, 2, 3, 4].map((number) => ({ id: `i-${number}`, pool: POOL })),
  });
  const { nodeNames } = options;
  const work = {
    spec: JSON.stringify({ workMs: WORK_MS }),
    phases: [{ count: 1, cpu: 100, memMb: 64, estimateMs: WORK_MS }],
  };
  /** Cancels that were answered, by id. */
  const acknowledged = new Map();
  const client = async (number) => {
    const path = `/${POOL}/${idOf(number)}`;
    const node = nodeNames[number % nodeNames.length];
    const other = nodeNames[(number + 1) % nodeNames.length];
    const { status } = await site.call(node, "POST", path, work, { waitMs: TIME_BUDGET_MS });
    if (status !== 0 && status !== 504) {
      return;
    }
    const cancel = await site.call(other, "DELETE", path, null, { waitMs: TIME_BUDGET_MS });
    if (cancel.status === 200 || cancel.status === 410) {
      acknowledged.set(idOf(number), { status: cancel.status, atMs: site.nowMs() });
    }
  };

  if (trouble) {
    site.note("the store loses answers", { share: LOST_SHARE, forMs: LOST_FOR_MS });
    site.store.loseAnswers(LOST_SHARE, LOST_FOR_MS, newDraw(7));
  }
  const clients = [];
  for (let number = 1; number <= SUBMISSIONS; number += 1) {
    clients.push(client(number));
    await pause(GAP_MS);
  }
  await Promise.all(clients);
  site.note("clients are done", { cancelled: Object.fromEntries(acknowledged) });
  // Until the store has been calm for the time that a cancelled work item may take to be gone.
  await pause(LATEST_WRITE_MS + BOUNDS.contactMs + BOUNDS.cancel_ms + BOUNDS.stopMs);
  const running = site.runs.filter(
    ({ task, toMs }) => toMs === null && acknowledged.has(task.split(".")[0]),
  );
  for (const { task } of running) {
    await site.call(nodeNames[0], "GET", `/${POOL}/${task.split(".")[0]}`, null);
  }
  return running.length === 0
    ? null
    : {
        rule: "UNASKED",
        running: running.length,
        first: { ...running[0], cancel: acknowledged.get(running[0].task.split(".")[0]) },
      };
});
