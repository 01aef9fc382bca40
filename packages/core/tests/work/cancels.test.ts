import test from "ava";
import { reduce, type Effect, type RunningLine } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

type Start = Extract<Effect, { type: "worker/start" }>;

type Poll = Extract<Effect, { type: "worker/look" }>;

const pollsOf = (effects: readonly Effect[]): Poll[] =>
  effects.filter((effect) => effect.type === "worker/look");

const startsOf = (effects: readonly Effect[]): Start[] =>
  effects.filter((effect) => effect.type === "worker/start");

test("a cancelled item that a new incarnation of its worker has started runs on", (t) => {
  const site = new WorkSite(5, 1, 3);
  site.runDurationMs = 60_000;
  site.run(2_000);
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(1_000);
  const [start] = startsOf(site.effects);
  const state = site.nodes[0]?.state;
  t.truthy(start);
  t.truthy(state);
  if (start === undefined || state === undefined) {
    return;
  }
  site.cancel(ID, 0);
  site.run(60);
  while (state.work?.owned?.workers.get(start.worker)?.pollOrder === null) {
    site.run(1);
  }
  const poll = pollsOf(site.effects).findLast(({ worker }) => worker === start.worker);
  t.truthy(poll);
  if (poll === undefined) {
    return;
  }
  const atMs = 1_000 + site.nowMs;
  const { worker, address, fence, order, startWallMs } = poll;
  const { item, run } = start;
  const line: RunningLine = { item, run, checkpoint: "", percent: 1, load: null };
  reduce(state, {
    type: "worker/looked",
    worker,
    address,
    fence,
    order,
    startWallMs,
    reportedStartWallMs: startWallMs,
    clockMs: 10_000,
    running: [line],
    ends: [],
    endsComplete: true,
    sentAtMs: atMs,
    atMs: atMs + 2,
  });
  const later = { type: "clock/ticked", atMs: atMs + 900, wallMs: 1e6 + site.nowMs + 900 } as const;
  const effects = reduce(state, later);
  t.like(
    effects.find(({ type }) => type === "worker/stop"),
    { worker, item, run },
  );
});
