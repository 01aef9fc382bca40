import { LOAD, SEEN_OUTCOME } from "../load/constants.js";
import type { LoadReport, StreamReport } from "../load/types.js";
import type { FleetRuns } from "../target/targetFleet.js";

/** What a team got. */
export interface TeamVerdict {
  readonly team: string;
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly shareGot: number;
  readonly shareDue: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** One promise, as it was kept. */
export interface PromiseVerdict {
  readonly promise: string;
  readonly seen: number;
  readonly allowed: number;
}

/** What the judge looks at. */
export interface Evidence {
  readonly report: LoadReport;
  readonly fleets: readonly FleetRuns[];
  /** Share of each team by the rules. */
  readonly shares: ReadonlyMap<string, number>;
  /** The queue whose pool was full, from one second of the load up to another. */
  readonly fullQueue: string;
  readonly fullFromMs: number;
  readonly fullUntilMs: number;
}

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** Slot time that a stream got while the pool was full. */
const fullSlotMs = (stream: StreamReport, evidence: Evidence): number => {
  if (stream.queue !== evidence.fullQueue) {
    return 0;
  }
  const from = evidence.fullFromMs / LOAD.BUCKET_MS;
  const until = evidence.fullUntilMs / LOAD.BUCKET_MS;
  return sum(stream.answeredBySecond.slice(from, until)) * stream.workMs;
};

const judgeTeam = (evidence: Evidence, team: string, share: number): TeamVerdict => {
  const { streams } = evidence.report;
  const own = streams.filter((stream) => stream.team === team);
  const total = (count: (stream: StreamReport) => number): number => sum(own.map(count));
  const allSlotMs = sum(streams.map((stream) => fullSlotMs(stream, evidence)));
  const busiest = own.find((stream) => stream.queue === evidence.fullQueue);
  return {
    team,
    sent: total((stream) => stream.sent),
    answered: total((stream) => stream.answered),
    notRun: total((stream) => stream.notRun),
    unknown: total((stream) => stream.unknown + stream.broken),
    shareGot: total((stream) => fullSlotMs(stream, evidence)) / Math.max(1, allSlotMs),
    shareDue: share / sum([...evidence.shares.values()]),
    p50Ms: busiest?.latency.p50Ms ?? 0,
    p99Ms: busiest?.latency.p99Ms ?? 0,
  };
};

/**
 * @param evidence - What callers and targets saw.
 * @returns What each team got.
 */
export const judgeTeams = (evidence: Evidence): readonly TeamVerdict[] =>
  [...evidence.shares].map(([team, share]) => judgeTeam(evidence, team, share));

/** Runs of a tag at all targets together. */
const runsOf = (fleets: readonly FleetRuns[], tag: string): number =>
  sum(fleets.map(({ runs }) => runs[tag] ?? 0));

/**
 * @param evidence - What callers and targets saw.
 * @returns Each promise with what was seen of it.
 */
export const judgePromises = ({ report, fleets }: Evidence): readonly PromiseVerdict[] => {
  const told = Object.entries(report.outcomes).map(([tag, { idempotent, outcome }]) => ({
    idempotent,
    outcome,
    runs: runsOf(fleets, tag),
  }));
  const nonIdempotent = told.filter((request) => !request.idempotent);
  const ranThoughNotRun = told.filter(
    ({ outcome, runs }) => outcome === SEEN_OUTCOME.NOT_RUN && runs > 0,
  );
  const answeredWithoutRun = told.filter(
    ({ outcome, runs }) => outcome === SEEN_OUTCOME.ANSWERED && runs === 0,
  );
  const total = (count: (stream: StreamReport) => number): number => sum(report.streams.map(count));
  return [
    {
      promise: "runs of one non-idempotent request, at most",
      seen: nonIdempotent.reduce((most, { runs }) => Math.max(most, runs), 0),
      allowed: 1,
    },
    { promise: "refused as not run, and ran", seen: ranThoughNotRun.length, allowed: 0 },
    { promise: "answered, and ran nowhere", seen: answeredWithoutRun.length, allowed: 0 },
    {
      promise: "requests cut off by the drain",
      seen: sum(fleets.map(({ cutOff }) => cutOff)),
      allowed: 0,
    },
    { promise: "answers not whole", seen: total(({ notWhole }) => notWhole), allowed: 0 },
    { promise: "answers crossed", seen: total(({ crossed }) => crossed), allowed: 0 },
  ];
};

/**
 * @param report - What callers saw.
 * @returns How often each kind of refusal or broken connection was met, the most frequent first.
 */
export const countRefusals = (report: LoadReport): readonly (readonly [string, number])[] => {
  const counts = new Map<string, number>();
  for (const [kind, count] of report.streams.flatMap(({ refusals }) => Object.entries(refusals))) {
    counts.set(kind, (counts.get(kind) ?? 0) + count);
  }
  return [...counts].sort(([, left], [, right]) => right - left);
};
