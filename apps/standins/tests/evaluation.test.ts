import test from "ava";
import { isMet } from "../src/demo/formatEvaluation.js";
import { checkGuarantees, evaluateTeams, type Observations } from "../src/demo/evaluation.js";
import type { FleetTotals, LoadReport, StreamReport } from "../src/index.js";

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

const fleetTotals = (runs: Record<string, number>, cutOff = 0): FleetTotals => ({
  runs,
  cutOff,
  refusedFull: 0,
  hungUp: 0,
  peakRunning: 0,
  reboots: 0,
});

const ALL_MET: Observations = {
  report: {
    streams: [stream({})],
    outcomes: {
      once: { idempotent: false, outcome: "answered" },
      twice: { idempotent: true, outcome: "answered" },
      refused: { idempotent: false, outcome: "notRun" },
      lost: { idempotent: false, outcome: "unknown" },
    },
  },
  fleets: [fleetTotals({ once: 1, twice: 1 }), fleetTotals({ twice: 1 })],
  shares: new Map([["lots", 1]]),
  fullQueue: "register",
  fullFromMs: 1_000,
  fullUntilMs: 3_000,
};

const violated = (evidence: Partial<Observations>): readonly string[] =>
  checkGuarantees({ ...ALL_MET, ...evidence })
    .filter((result) => !isMet(result))
    .map(({ guarantee }) => guarantee);

const withStream = (fields: Partial<StreamReport>): { report: LoadReport } => ({
  report: { ...ALL_MET.report, streams: [stream(fields)] },
});

test("a repeated idempotent request and an unknown outcome violate no guarantee", (t) => {
  t.deepEqual(violated({}), []);
});

test("a non-idempotent request that ran on two targets is reported", (t) => {
  const fleets = [fleetTotals({ once: 1, twice: 1 }), fleetTotals({ once: 1 })];
  t.deepEqual(violated({ fleets }), ["most runs of one non-idempotent request"]);
});

test("a false not-run, an answer without a run and an interrupted request are reported", (t) => {
  t.deepEqual(violated({ fleets: [fleetTotals({ twice: 1, refused: 1 }, 1)] }), [
    "requests refused as not run that ran",
    "requests answered that ran on no target",
    "requests interrupted by the drain",
  ]);
});

test("incomplete answers and answers to another request are reported", (t) => {
  t.deepEqual(violated(withStream({ notWhole: 1 })), ["incomplete or altered answers"]);
  t.deepEqual(violated(withStream({ crossed: 1 })), ["answers to another request"]);
});

test("shares count slot time of the full queue, and only while its pool was full", (t) => {
  const streams = [
    stream({ team: "lots", workMs: 30, answeredBySecond: [99, 1, 1, 99] }),
    stream({ team: "dies", workMs: 10, answeredBySecond: [99, 1, 1, 99] }),
    stream({ team: "dies", queue: "other", answeredBySecond: [99, 99, 99, 99] }),
  ];
  const shares = new Map([
    ["lots", 2],
    ["dies", 3],
  ]);
  const teams = evaluateTeams({ ...ALL_MET, report: { streams, outcomes: {} }, shares });
  t.deepEqual(
    teams.map(({ actualShare, expectedShare }) => [actualShare, expectedShare]),
    [
      [0.75, 0.4],
      [0.25, 0.6],
    ],
  );
});
