import type { ValueOf } from "@heatherferry/common";
import type { Histogram } from "hdr-histogram-js";
import type { RandomGenerator } from "pure-rand";
import type { ANSWER_FAULT, CALLER_OUTCOME } from "./constants.js";

export type CallerOutcome = ValueOf<typeof CALLER_OUTCOME>;
export type AnswerFault = ValueOf<typeof ANSWER_FAULT>;

/** Span of time with a constant request rate. */
export interface RatePhase {
  readonly durationMs: number;
  /** Multiple of the stream's mean rate. */
  readonly factor: number;
}

/** Stream of requests of one team to one queue. */
export interface LoadStream {
  readonly team: string;
  /** Secret of the team's key; null for queues that need no key. */
  readonly secret: string | null;
  readonly queue: string;
  readonly meanPerSecond: number;
  /** Phases of the rate, in order; they repeat cyclically. */
  readonly phases: readonly RatePhase[];
  readonly idempotentFraction: number;
  readonly workMs: number;
  readonly workJitterMs: number;
  readonly bodyBytes: number;
  readonly answerBytes: number;
  /** Timeout that the request asks for; null for the timeout of the queue. */
  readonly timeoutMs: number | null;
}

export interface LoadPlan {
  /** `host:port` of each entry host. */
  readonly entryHosts: readonly string[];
  readonly streams: readonly LoadStream[];
  readonly durationMs: number;
  readonly seed: number;
}

/** One request of the load. */
export interface LoadRequest {
  /** Unique tag, which the target returns with the answer. */
  readonly tag: string;
  readonly stream: LoadStream;
  readonly streamIndex: number;
  readonly idempotent: boolean;
  readonly entryHost: string;
}

/** Result of one request, as its caller sees it. */
export interface CallerResult {
  readonly outcome: CallerOutcome;
  readonly fault: AnswerFault | null;
  /** Kind of the refusal or of the failure; null for answers. */
  readonly refusalKind: string | null;
}

/** Counts and latencies of one stream. */
export interface StreamCounts {
  sent: number;
  answered: number;
  notRun: number;
  unknown: number;
  broken: number;
  crossed: number;
  notWhole: number;
  refusals: Record<string, number>;
  /** Number of requests answered in each second since the start. */
  answeredBySecond: number[];
  readonly latencyMs: Histogram;
}

/** State of a load; only `reduceLoad` changes it, in place. */
export interface LoadState {
  readonly plan: LoadPlan;
  readonly random: RandomGenerator;
  readonly startedAtMs: number;
  lastTickAtMs: number;
  nextSequence: number;
  /** Due requests per stream, in thousandths, so that whole rates add up without rounding. */
  dueThousandths: number[];
  counts: StreamCounts[];
  inFlight: Map<string, { readonly request: LoadRequest; readonly sentAtMs: number }>;
  /** Outcome of each ended request, by tag. */
  outcomes: Map<string, { readonly idempotent: boolean; readonly outcome: CallerOutcome }>;
  stopping: boolean;
}

export type LoadEvent =
  | { readonly type: "clock/ticked"; readonly atMs: number }
  | {
      readonly type: "request/ended";
      readonly atMs: number;
      readonly tag: string;
      readonly result: CallerResult;
    }
  | { readonly type: "load/stopRequested"; readonly atMs: number };

export type LoadEffect =
  | { readonly type: "request/send"; readonly request: LoadRequest }
  /** All requests have been sent and have ended. */
  | { readonly type: "load/finished" };

/** Latency percentiles of one stream. */
export interface LatencyReport {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Report of one stream. */
export type StreamReport = Omit<StreamCounts, "latencyMs"> & {
  readonly team: string;
  readonly queue: string;
  readonly workMs: number;
  readonly latency: LatencyReport;
};

/** Report of a load. */
export interface LoadReport {
  readonly streams: readonly StreamReport[];
  /** Outcome of each ended request, by tag. */
  readonly outcomes: Readonly<
    Record<string, { readonly idempotent: boolean; readonly outcome: CallerOutcome }>
  >;
}
