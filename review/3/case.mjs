// A recurring submission whose work items have ended for some thousand times, beside the ordinary
// traffic of the same tenant.
import { randomBytes } from "node:crypto";
import { runCase, simpleConfig, TROUBLE } from "../lib/deployment.mjs";
import { sleep } from "../lib/http.mjs";

/** One work item each time; with TROUBLE=0 the same number of times is spread over submissions. */
const TIMES = 6_000;
const CALM_SUBMISSIONS = 20;
const INTERVAL_MS = 6;
const TRAFFIC_S = 60;
const SUBMISSION_GAP_MS = 250;
const FINISH_S = 14;
const NOTHING_RUNS_S = 3;

const WORK = {
  spec: JSON.stringify({ workMs: 200 }),
  phases: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 200 }],
};

const recurring = (repeatCount, intervalMs) => ({
  spec: JSON.stringify({ workMs: 20 }),
  phases: [{ count: 1, cpu: 100, memMb: 64, estimateMs: 20 }],
  repeatCount,
  startAtMs: Date.now() + 1_000,
  intervalMs,
});

runCase(import.meta.url, async (site) => {
  site.writeConfig(simpleConfig(3));
  await site.addPool(6);
  await site.addNodes(3);
  if (!(await site.ready())) {
    return null;
  }
  let runs = 0;
  site.observers.push(({ what, how }) => {
    runs += what === "end" && how === "done" ? 1 : 0;
  });
  const accepted = [];
  const submit = async (work) => {
    const id = randomBytes(8).toString("hex");
    if ((await site.submit(id, work)) === 200) {
      accepted.push(id);
    }
  };
  const number = TROUBLE ? 1 : CALM_SUBMISSIONS;
  for (let index = 0; index < number; index += 1) {
    await submit(recurring(TIMES / number, INTERVAL_MS * number));
  }
  if (accepted.length < number) {
    return { broken: false, text: "the recurring submission was refused" };
  }
  const trafficEnds = site.seconds() + TRAFFIC_S;
  const inFlight = [];
  while (site.seconds() < trafficEnds) {
    inFlight.push(submit(WORK));
    await sleep(SUBMISSION_GAP_MS);
  }
  await Promise.all(inFlight);
  site.record({ what: "traffic ends", accepted: accepted.length, runs });
  await sleep(FINISH_S * 1_000);
  const waiting = await site.waiting(accepted, NOTHING_RUNS_S);
  const refused = site.store.tooLarge;
  site.record({
    what: "store refused transactions for their size",
    count: refused.length,
    first: refused[0]?.excess ?? null,
  });
  return {
    broken: waiting.size > 0,
    text: `${accepted.length} submissions accepted, ${runs} runs done; ${waiting.size} submissions have nothing running ${FINISH_S} s after the end of the traffic, with all executors empty; ${refused.length} transactions refused by the store for their size`,
  };
});
