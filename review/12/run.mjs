// Another writer registers a host of a service that no config names, and gives its capacity in
// another unit (billionths of a core). Each process of the system that becomes the leader ends.

import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { awaitCompleted, deskSite, handIn, idOf, lostOnes } from "../lib-3/desk.mjs";
import { freePort } from "../lib-3/http.mjs";
import { pause, RESULT, runCase, TROUBLE } from "../lib-3/site.mjs";

const SUBMISSIONS = 5;
const FINISH_S = 14;
/** Two work items, and two more whose turn comes once these are done. */
const WORK = {
  spec: "2500",
  phases: [
    { count: 2, cpu: 500, memMb: 256 },
    { count: 2, cpu: 500, memMb: 256, after: [0] },
  ],
};
const ITEMS = 4;
/** 32 cores, in billionths of a core. */
const CPU_IN_BILLIONTHS = 32_000_000_000;

const site = deskSite();

const registerForeignHost = async () => {
  site.store.put("servers", "gpu-host-1", {
    service: "batch-gpu",
    address: `127.0.0.1:${await freePort()}`,
    zone: "zone-a",
    version: "v1",
    slots: 8,
    state: "ready",
    coldRemainingMs: 0,
    capacity: { cpu: CPU_IN_BILLIONTHS, memMb: 65_536, gpu: 4 },
    labels: ["g", "r-9"],
    clockMs: 1,
    born: Date.now(),
    machine: "g-1",
    sequence: 1,
  });
  site.record("foreignHostRegistered", { service: "batch-gpu", cpu: CPU_IN_BILLIONTHS });
};

await runCase(site, join(dirname(fileURLToPath(import.meta.url)), "record.txt"), async () => {
  if (!(await site.start())) {
    return { result: RESULT.CANNOT_RUN, verdict: "the nodes did not become ready" };
  }
  await handIn(site, idOf(0));
  if ((await awaitCompleted(site, [idOf(0)], 8)).length > 0) {
    return { result: RESULT.CANNOT_RUN, verdict: "a submission in calm was not completed" };
  }
  const accepted = [];
  for (let n = 1; n <= SUBMISSIONS; n += 1) {
    if (await handIn(site, idOf(n), WORK)) {
      accepted.push(idOf(n));
    }
  }
  if (accepted.length < SUBMISSIONS) {
    return { result: RESULT.CANNOT_RUN, verdict: "not all submissions were accepted" };
  }
  if (TROUBLE) {
    await registerForeignHost();
  }
  await pause(20_000);
  const open = await awaitCompleted(site, accepted, FINISH_S);
  const { unanswered, starved } = await lostOnes(site, accepted, ITEMS);
  const ends = site.nodes.flatMap(({ name, ownEnds }) => ownEnds.map((end) => ({ name, ...end })));
  const nodes = new Set(ends.map(({ name }) => name)).size;
  site.record("summary", { open, unanswered, starved, ownEnds: ends.length, nodes });
  return unanswered.length + starved.length > 0
    ? {
        result: RESULT.BROKEN,
        verdict: `LOST broken: ${starved.length} of ${accepted.length} accepted submissions have had nothing running for 3 s though a work item's turn has come, ${unanswered.length} get no answer; ${ends.length} times a process ended by itself, on ${nodes} of ${site.nodes.length} nodes`,
      }
    : {
        result: RESULT.HELD,
        verdict: `${accepted.length - open.length} of ${accepted.length} accepted submissions were done; ${ends.length} processes ended by themselves`,
      };
});
