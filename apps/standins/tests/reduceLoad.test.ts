import test from "ava";
import { initialLoadState } from "../src/load/initialLoadState.js";
import { reduceLoad } from "../src/load/reduceLoad.js";
import type { LoadPlan } from "../src/index.js";

const PLAN: LoadPlan = {
  entryHosts: ["127.0.0.1:1"],
  durationMs: 60_000,
  seed: 1,
  streams: [
    {
      team: "lots",
      secret: null,
      queue: "register",
      meanPerSecond: 100,
      phases: [
        { durationMs: 1_000, factor: 1 },
        { durationMs: 1_000, factor: 5 },
        { durationMs: 2_000, factor: 0.05 },
      ],
      idempotentFraction: 1,
      workMs: 1,
      workJitterMs: 0,
      bodyBytes: 0,
      answerBytes: 1,
      timeoutMs: null,
    },
  ],
};

test("a surge sends five times the mean rate, its end a twentieth, and rounding loses no request", (t) => {
  const state = initialLoadState(PLAN, 0);
  const sentBySecond = [0, 0, 0, 0];
  for (let atMs = 20; atMs <= 4_000; atMs += 20) {
    const effects = reduceLoad(state, { type: "clock/ticked", atMs });
    const second = Math.floor((atMs - 1) / 1_000);
    sentBySecond[second] = (sentBySecond[second] ?? 0) + effects.length;
  }
  t.deepEqual(sentBySecond, [100, 500, 5, 5]);
});

test("a load that is stopped waits for the requests in flight", (t) => {
  const state = initialLoadState(PLAN, 0);
  const [sent] = reduceLoad(state, { type: "clock/ticked", atMs: 10 });
  t.deepEqual(reduceLoad(state, { type: "load/stopRequested", atMs: 11 }), []);
  t.deepEqual(reduceLoad(state, { type: "clock/ticked", atMs: 1_000 }), []);
  const tag = sent?.type === "request/send" ? sent.request.tag : "";
  const result = { outcome: "answered", fault: null, refusalKind: null } as const;
  t.deepEqual(reduceLoad(state, { type: "request/ended", atMs: 1_001, tag, result }), [
    { type: "load/finished" },
  ]);
});
