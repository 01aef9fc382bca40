import test from "ava";
import { isKept } from "../src/demo/formatVerdict.js";
import { judgePromises, judgeTeams, type Evidence } from "../src/demo/verdict.js";
import type { FleetRuns, LoadReport, StreamReport } from "../src/index.js";

const stream = (fields: Partial<StreamReport>): StreamReport => ({
  team: "lots",
  queue: "register",
  workMs: 10,
  sent: 0,
  answered: 0,
  notRun: 0,
  unknown: 0,
  broken: 0,
  crossed: 0,
  notWhole: 0,
  refusals: {},
  answeredBySecond: [],
  latency: { p50Ms: 0, p99Ms: 0, maxMs: 0 },
  ...fields,
});

const fleet = (runs: Record<string, number>, cutOff = 0): FleetRuns => ({
  runs,
  cutOff,
  refusedFull: 0,
  hungUp: 0,
  peakRunning: 0,
  reboots: 0,
});

const KEPT: Evidence = {
  report: {
    streams: [stream({})],
    outcomes: {
      once: { idempotent: false, outcome: "answered" },
      twice: { idempotent: true, outcome: "answered" },
      refused: { idempotent: false, outcome: "notRun" },
      lost: { idempotent: false, outcome: "unknown" },
    },
  },
  fleets: [fleet({ once: 1, twice: 1 }), fleet({ twice: 1 })],
  shares: new Map([["lots", 1]]),
  fullQueue: "register",
  fullFromMs: 1_000,
  fullUntilMs: 3_000,
};

const broken = (evidence: Partial<Evidence>): readonly string[] =>
  judgePromises({ ...KEPT, ...evidence })
    .filter((verdict) => !isKept(verdict))
    .map(({ promise }) => promise);

const withStream = (fields: Partial<StreamReport>): { report: LoadReport } => ({
  report: { ...KEPT.report, streams: [stream(fields)] },
});

test("a repeated idempotent request and an unknown outcome break no promise", (t) => {
  t.deepEqual(broken({}), []);
});

test("a non-idempotent request that ran on two targets is found", (t) => {
  const fleets = [fleet({ once: 1, twice: 1 }), fleet({ once: 1 })];
  t.deepEqual(broken({ fleets }), ["runs of one non-idempotent request, at most"]);
});

test("a false not-run, an answer out of nowhere and a cut request are found", (t) => {
  t.deepEqual(broken({ fleets: [fleet({ twice: 1, refused: 1 }, 1)] }), [
    "refused as not run, and ran",
    "answered, and ran nowhere",
    "requests cut off by the drain",
  ]);
});

test("answers that are not whole or crossed are found", (t) => {
  t.deepEqual(broken(withStream({ notWhole: 1 })), ["answers not whole"]);
  t.deepEqual(broken(withStream({ crossed: 1 })), ["answers crossed"]);
});

test("shares count slot time of the full queue and only while it was full", (t) => {
  const streams = [
    stream({ team: "lots", workMs: 30, answeredBySecond: [99, 1, 1, 99] }),
    stream({ team: "dies", workMs: 10, answeredBySecond: [99, 1, 1, 99] }),
    stream({ team: "dies", queue: "other", answeredBySecond: [99, 99, 99, 99] }),
  ];
  const shares = new Map([
    ["lots", 2],
    ["dies", 3],
  ]);
  const teams = judgeTeams({ ...KEPT, report: { streams, outcomes: {} }, shares });
  t.deepEqual(
    teams.map(({ shareGot, shareDue }) => [shareGot, shareDue]),
    [
      [0.75, 0.4],
      [0.25, 0.6],
    ],
  );
});
