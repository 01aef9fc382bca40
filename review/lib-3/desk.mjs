// The site that most scripts share: one service, one queue with a key, four machines.

import { pause, Site } from "./site.mjs";

export const KEY = "key-of-tenant-a";
export const PREFIX = "/desk/";

/** A submission of two work items of 400 ms each. */
export const BODY = { spec: "400", phases: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 400 }] };

export const routeOf = (name, prefix, service, more = {}) => ({
  name,
  host: "pule25.example",
  prefix,
  kind: "non_idempotent",
  timeoutMs: 3_000,
  targetDurationMs: 600,
  priority: 0,
  service,
  maxAttempts: 2,
  stretchFactor: 1.6,
  anonymous: false,
  ...more,
});

export const serviceOf = (name, standby = false) => ({ name, enforcesCapacity: false, standby });

export const tenantOf = (name, key) => ({
  name,
  apiKeys: [key],
  weight: 35,
  ceiling: { cpu: 400_000, memMb: 1_500_000, gpu: 0 },
});

export const configOf = ({ routes = [], tenants = [], services = [] } = {}) => ({
  version: 1,
  routes: [routeOf("quote", PREFIX, "desk"), ...routes],
  services: [serviceOf("desk"), ...services],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144 },
  tenants: [tenantOf("a", KEY), ...tenants],
});

/** Returns the site: machines m-1 to m-4 with an executor each, on racks r-1 to r-4. */
export const deskSite = (more = {}) =>
  new Site({
    machines: Object.fromEntries(
      [1, 2, 3, 4].map((n) => [
        `m-${n}`,
        { pool: "desk", zone: `zone-${"abca"[n - 1]}`, rack: `r-${n}` },
      ]),
    ),
    config: configOf(),
    ...more,
  });

export const idOf = (n) => `5c0e7a21d94b${n.toString(16).padStart(4, "0")}`;

export const stateOf = async (site, id) =>
  (await site.call("GET", `${PREFIX}${id}`, { key: KEY })).body.state;

/** Hands a submission in; returns whether it was accepted. */
export const handIn = async (site, id, body = BODY) => {
  const { status } = await site.insist("POST", `${PREFIX}${id}`, { key: KEY, body });
  return status === 200;
};

/** Waits until submissions are shown as completed; returns those that are not. */
export const awaitCompleted = async (site, ids, seconds) => {
  const open = new Set(ids);
  await site.until(seconds, async () => {
    for (const id of open) {
      if ((await stateOf(site, id)) === "completed") {
        open.delete(id);
      }
    }
    await pause(300);
    return open.size === 0;
  });
  return [...open];
};

/** Submissions of which no work item has begun. */
export const neverBegun = (site, ids) => {
  const begun = new Set(site.records("started").map(({ task }) => task.split(".")[0]));
  return ids.filter((id) => !begun.has(id));
};

/** Tells for how long a submission has had nothing running though a work item's turn has come. */
const idleS = (site, id, items) => {
  const of = (what) => site.records(what).filter(({ task }) => task.startsWith(id));
  const [started, ended] = [of("started"), of("ended")];
  const done = new Set(ended.filter(({ how }) => how === "done").map(({ task }) => task)).size;
  if (done === items || started.length > ended.length) {
    return 0;
  }
  return site.nowS - Math.max(0, ...ended.map(({ atS }) => atS));
};

/** Whether any node tells the state of a submission. */
const isAnswered = async (site, id) => {
  for (let attempt = 0; attempt < 3; attempt += 1) {
    const calls = site.nodes.map((node) => site.call("GET", `${PREFIX}${id}`, { key: KEY, node }));
    if ((await Promise.all(calls)).some(({ status }) => status === 200)) {
      return true;
    }
    await pause(500);
  }
  return false;
};

/**
 * Submissions that break LOST when they are asked for: no node tells their state, or they have had
 * nothing running for 3 s while a work item's turn had come. Nothing else runs on the executors.
 */
export const lostOnes = async (site, ids, items) => {
  const answered = await Promise.all(ids.map((id) => isAnswered(site, id)));
  return {
    unanswered: ids.filter((_, index) => !answered[index]),
    starved: ids.filter((id) => idleS(site, id, items) > 3),
  };
};
