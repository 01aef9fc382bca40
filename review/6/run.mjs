/**
 * An executor whose steady clock is 2% slow has had nothing to do for a while. It is given a work
 * item and is then cut off; the machine that leads is restarted as planned.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { configOf, pause, runCase, until } from "../stand-ins-2/site.mjs";
import { NO_ANSWER } from "../stand-ins-2/server.mjs";

const here = dirname(fileURLToPath(import.meta.url));
const POOL = "desk";
const ID = "00000000000000d1";
const IDLE_MS = 80_000;
const CLOCK_RATE = 0.98;
/** From the start of the work item. */
const TROUBLE_AFTER_MS = 200;
/** The site's dose: node_cut, how = "servers", for_s = 5.5. */
const CUT_MS = 5_500;
const WORK_MS = 8_000;

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
    workers: [1, 2, 3, 4, 5, 6].map((number) => ({
      id: `i-${number}`,
      pool: POOL,
      clockRate: CLOCK_RATE,
    })),
  });
  await pause(IDLE_MS);
  const work = {
    spec: JSON.stringify({ workMs: WORK_MS }),
    phases: [{ count: 1, cpu: 1_000, memMb: 512, estimateMs: WORK_MS }],
  };
  const { status } = await site.call("node-a", "POST", `/${POOL}/${ID}`, work);
  if (status !== 200) {
    throw new Error(`the submission was answered with ${status}`);
  }
  const first = await until(() => site.runs[0], 5_000, "the work item runs");
  if (trouble) {
    await pause(TROUBLE_AFTER_MS);
    const worker = site.workers.find(({ id }) => id === first.worker);
    site.note("worker is cut off", { worker: worker.id });
    worker.fault = () => NO_ANSWER;
    setTimeout(() => {
      worker.fault = null;
      worker.server.dropConnections();
      site.note("worker is reachable", { worker: worker.id });
    }, CUT_MS);
    site.signal(site.store.leader(), "SIGTERM");
  }
  await pause(WORK_MS + 4_000);
  const [overlap] = site.overlaps();
  return overlap === undefined ? null : { rule: "TWICE", ...overlap };
});
