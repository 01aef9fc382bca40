// Sixty maintenance waves have been requested and completed, one after another. Then the process
// that owns the work gets SIGTERM, as in a rolling restart.
import { randomBytes } from "node:crypto";
import { runCase, simpleConfig, TROUBLE } from "../lib/deployment.mjs";
import { sleep } from "../lib/http.mjs";

const WAVES = 60;
const WAVE_GAP_MS = 400;
const OFF_MACHINES = 20;
const EXECUTORS = 4;
const TRAFFIC_AFTER_S = 12;
const SUBMISSION_GAP_MS = 250;
const FINISH_S = 14;
const NOTHING_RUNS_S = 3;

const WORK = {
  spec: JSON.stringify({ workMs: 200 }),
  phases: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 200 }],
};

runCase(import.meta.url, async (site) => {
  site.writeConfig(simpleConfig(3));
  await site.addPool(EXECUTORS);
  for (let index = 0; index < OFF_MACHINES; index += 1) {
    site.addStandbyMachine(`m-off${index}`, "spare");
  }
  await site.addNodes(3);
  if (!(await site.ready())) {
    return null;
  }

  const accepted = [];
  let traffic = true;
  const clients = (async () => {
    while (traffic) {
      const id = randomBytes(8).toString("hex");
      void site.submit(id, WORK).then((status) => {
        if (status === 200) {
          accepted.push(id);
        }
      });
      await sleep(SUBMISSION_GAP_MS);
    }
  })();

  for (let wave = 1; wave <= WAVES; wave += 1) {
    const machines = [`m-off${wave % OFF_MACHINES}`];
    site.store.put("op", `wave/${wave}`, { wave, machines, durationS: 25, ceiling: 1 });
    await sleep(WAVE_GAP_MS);
  }
  const completed = () =>
    site.store
      .list("status")
      .filter(({ key, body }) => key.startsWith("wave/") && body.state === "completed").length;
  const done = await site.until(20, async () => (completed() === WAVES ? true : null));
  site.record({ what: "waves completed", completed: completed(), of: WAVES });
  if (done === null) {
    return null;
  }
  const before = await site.until(5, async () => site.owner());
  if (before === null) {
    return null;
  }
  site.record({ what: "owner", node: before.name });
  if (TROUBLE) {
    before.signal("SIGTERM");
  }
  await sleep(TRAFFIC_AFTER_S * 1_000);
  traffic = false;
  await clients;
  site.record({ what: "traffic ends", accepted: accepted.length });
  await sleep(FINISH_S * 1_000);

  const waiting = await site.waiting(accepted, NOTHING_RUNS_S);
  const refused = site.store.tooLarge;
  site.record({
    what: "store refused transactions for their size",
    count: refused.length,
    first: refused[0]?.excess ?? null,
  });
  site.record({ what: "owner at the end", node: site.owner()?.name ?? null });
  return {
    broken: waiting.size > 0,
    text: `${accepted.length} submissions accepted; ${waiting.size} of them have nothing running ${FINISH_S} s after the end of the traffic, with all executors empty; ${refused.length} transactions refused by the store for their size`,
  };
});
