// Some submissions that last ask for a label that no executor has, so they can never be done. All
// other work of the pool comes after them.
import { randomBytes } from "node:crypto";
import { runCase, simpleConfig, TROUBLE } from "../lib/deployment.mjs";
import { sleep } from "../lib/http.mjs";

const EXECUTORS = 40;
/** Sent within `POISON_S` among some 190 other submissions: a share below 0.05. */
const HOPELESS = 9;
const POISON_S = 3;
const POISON_FROM_S = 2;
const TRAFFIC_S = 20;
const SUBMISSION_GAP_MS = 15;
const FINISH_S = 14;
const NOTHING_RUNS_S = 3;

const WORK = {
  spec: JSON.stringify({ workMs: 200 }),
  phases: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 200 }],
};

const HOPELESS_STEP = {
  count: 10,
  cpu: 8000,
  memMb: 256,
  longRunning: true,
  requiredLabel: "no-such-kind",
};

const LASTING = {
  spec: JSON.stringify({ workMs: null }),
  phases: [HOPELESS_STEP, HOPELESS_STEP],
};

runCase(import.meta.url, async (site) => {
  site.writeConfig(simpleConfig(3));
  await site.addPool(EXECUTORS);
  await site.addNodes(3);
  if (!(await site.ready())) {
    return null;
  }
  const accepted = [];
  const hopeless = [];
  const submit = async (work, list) => {
    const id = randomBytes(8).toString("hex");
    if ((await site.submit(id, work)) === 200) {
      list.push(id);
    }
  };
  const startsAt = site.seconds();
  let hopelessSent = 0;
  let sent = 0;
  let sentInPoison = 0;
  const inFlight = [];
  while (site.seconds() < startsAt + TRAFFIC_S) {
    const sinceS = site.seconds() - startsAt - POISON_FROM_S;
    const due = Math.ceil((sinceS / POISON_S) * HOPELESS);
    if (TROUBLE && hopelessSent < Math.min(HOPELESS, due)) {
      hopelessSent += 1;
      inFlight.push(submit(LASTING, hopeless));
    } else {
      inFlight.push(submit(WORK, accepted));
    }
    sent += 1;
    sentInPoison += sinceS >= 0 && sinceS < POISON_S ? 1 : 0;
    await sleep(SUBMISSION_GAP_MS);
  }
  await Promise.all(inFlight);
  site.record({
    what: "traffic ends",
    sent,
    sentInPoison,
    accepted: accepted.length,
    hopeless: hopeless.length,
  });
  await sleep(FINISH_S * 1_000);
  const waiting = await site.waiting(accepted, NOTHING_RUNS_S);
  return {
    broken: waiting.size > 0,
    text: `${accepted.length} submissions accepted beside ${hopeless.length} that can never be done; ${waiting.size} of the former have nothing running ${FINISH_S} s after the end of the traffic, with all executors empty`,
  };
});
