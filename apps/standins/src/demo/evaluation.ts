import { LOAD, CALLER_OUTCOME } from "../load/constants.js";
import type { LoadReport, StreamReport } from "../load/types.js";
import type { FleetTotals } from "../target/targetFleet.js";

/** Results of one team: requests by outcome, shares of slot time and latencies. */
export interface TeamResult {
  readonly team: string;
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Fraction of the slot time that the team got while the pool was full. */
  readonly actualShare: number;
  /** Fraction that the rules entitle the team to. */
  readonly expectedShare: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** How often a violation of one guarantee was observed, and how often it is allowed. */
export interface GuaranteeResult {
  readonly guarantee: string;
  readonly observed: number;
  readonly allowed: number;
}

/** What the callers and the targets counted during the demo. */
export interface Observations {
  readonly report: LoadReport;
  readonly fleets: readonly FleetTotals[];
  /** Share of each team in the rules. */
  readonly shares: ReadonlyMap<string, number>;
  /** Queue whose pool was full between `fullFromMs` and `fullUntilMs` after the start of the load. */
  readonly fullQueue: string;
  readonly fullFromMs: number;
  readonly fullUntilMs: number;
}

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/**
 * Returns how long, in ms, requests of a stream occupied slots of targets while the pool was full:
 * the number of requests answered in that time, multiplied by the work time of each.
 */
const fullSlotMs = (stream: StreamReport, observations: Observations): number => {
  if (stream.queue !== observations.fullQueue) {
    return 0;
  }
  const from = observations.fullFromMs / LOAD.BUCKET_MS;
  const until = observations.fullUntilMs / LOAD.BUCKET_MS;
  return sum(stream.answeredBySecond.slice(from, until)) * stream.workMs;
};

const evaluateTeam = (observations: Observations, team: string, share: number): TeamResult => {
  const { streams } = observations.report;
  const own = streams.filter((stream) => stream.team === team);
  const total = (count: (stream: StreamReport) => number): number => sum(own.map(count));
  const allSlotMs = sum(streams.map((stream) => fullSlotMs(stream, observations)));
  const surging = own.find((stream) => stream.queue === observations.fullQueue);
  return {
    team,
    sent: total((stream) => stream.sent),
    answered: total((stream) => stream.answered),
    notRun: total((stream) => stream.notRun),
    unknown: total((stream) => stream.unknown + stream.broken),
    actualShare: total((stream) => fullSlotMs(stream, observations)) / Math.max(1, allSlotMs),
    expectedShare: share / sum([...observations.shares.values()]),
    p50Ms: surging?.latency.p50Ms ?? 0,
    p99Ms: surging?.latency.p99Ms ?? 0,
  };
};

/** Returns the results of each team. */
export const evaluateTeams = (observations: Observations): readonly TeamResult[] =>
  [...observations.shares].map(([team, share]) => evaluateTeam(observations, team, share));

/** Returns how often a request ran, over all targets. */
const countRuns = (fleets: readonly FleetTotals[], tag: string): number =>
  sum(fleets.map(({ runs }) => runs[tag] ?? 0));

/** Returns the result of each guarantee. */
export const checkGuarantees = ({ report, fleets }: Observations): readonly GuaranteeResult[] => {
  const requests = Object.entries(report.outcomes).map(([tag, { idempotent, outcome }]) => ({
    idempotent,
    outcome,
    runs: countRuns(fleets, tag),
  }));
  const nonIdempotent = requests.filter((request) => !request.idempotent);
  const ranAlthoughNotRun = requests.filter(
    ({ outcome, runs }) => outcome === CALLER_OUTCOME.NOT_RUN && runs > 0,
  );
  const answeredWithoutRun = requests.filter(
    ({ outcome, runs }) => outcome === CALLER_OUTCOME.ANSWERED && runs === 0,
  );
  const total = (count: (stream: StreamReport) => number): number => sum(report.streams.map(count));
  return [
    {
      guarantee: "most runs of one non-idempotent request",
      observed: nonIdempotent.reduce((most, { runs }) => Math.max(most, runs), 0),
      allowed: 1,
    },
    {
      guarantee: "requests refused as not run that ran",
      observed: ranAlthoughNotRun.length,
      allowed: 0,
    },
    {
      guarantee: "requests answered that ran on no target",
      observed: answeredWithoutRun.length,
      allowed: 0,
    },
    {
      guarantee: "requests interrupted by the drain",
      observed: sum(fleets.map(({ cutOff }) => cutOff)),
      allowed: 0,
    },
    {
      guarantee: "incomplete or altered answers",
      observed: total(({ notWhole }) => notWhole),
      allowed: 0,
    },
    {
      guarantee: "answers to another request",
      observed: total(({ crossed }) => crossed),
      allowed: 0,
    },
  ];
};

/**
 * Counts the refusals and broken connections of all streams by kind.
 *
 * @returns Pairs of kind and count, the most frequent first.
 */
export const countRefusals = (report: LoadReport): readonly (readonly [string, number])[] => {
  const counts = new Map<string, number>();
  for (const [kind, count] of report.streams.flatMap(({ refusals }) => Object.entries(refusals))) {
    counts.set(kind, (counts.get(kind) ?? 0) + count);
  }
  return [...counts].sort(([, left], [, right]) => right - left);
};
