import type { ValueOf } from "@heatherferry/common";
import type { Histogram } from "hdr-histogram-js";
import type { RandomGenerator } from "pure-rand";
import type { ANSWER_FAULT, SEEN_OUTCOME } from "./constants.js";

export type SeenOutcome = ValueOf<typeof SEEN_OUTCOME>;
export type AnswerFault = ValueOf<typeof ANSWER_FAULT>;

/** A stretch of time with one rate. */
export interface RatePhase {
  readonly durationMs: number;
  /** Multiple of the stream's mean rate. */
  readonly factor: number;
}

/** Requests of one team to one queue. */
export interface LoadStream {
  readonly team: string;
  /** The team's key; null on queues open to all. */
  readonly secret: string | null;
  readonly queue: string;
  readonly meanPerSecond: number;
  /** In turn, and from the first again. */
  readonly phases: readonly RatePhase[];
  readonly idempotentFraction: number;
  readonly workMs: number;
  readonly workJitterMs: number;
  readonly bodyBytes: number;
  readonly answerBytes: number;
  /** Null for the queue's own. */
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
  /** Distinct for each request. */
  readonly tag: string;
  readonly stream: LoadStream;
  readonly streamIndex: number;
  readonly idempotent: boolean;
  readonly entryHost: string;
}

/** How a request ended for its caller. */
export interface SeenResult {
  readonly outcome: SeenOutcome;
  readonly fault: AnswerFault | null;
  /** Why it was refused; null for answers. */
  readonly refusalKind: string | null;
}

/** Counts of one stream. */
export interface StreamCounts {
  sent: number;
  answered: number;
  notRun: number;
  unknown: number;
  broken: number;
  crossed: number;
  notWhole: number;
  refusals: Record<string, number>;
  /** Requests answered in each second since the start. */
  answeredBySecond: number[];
  readonly latencyMs: Histogram;
}

/** Only `reduceLoad` writes to it, in place. */
export interface LoadState {
  readonly plan: LoadPlan;
  readonly random: RandomGenerator;
  readonly startedAtMs: number;
  lastTickAtMs: number;
  nextSequence: number;
  /** Thousandths of requests due per stream: whole rates then add up without rounding. */
  dueThousandths: number[];
  counts: StreamCounts[];
  inFlight: Map<string, { readonly request: LoadRequest; readonly sentAtMs: number }>;
  /** What callers were told of each tag. */
  outcomes: Map<string, { readonly idempotent: boolean; readonly outcome: SeenOutcome }>;
  stopping: boolean;
}

export type LoadEvent =
  | { readonly type: "clock/ticked"; readonly atMs: number }
  | {
      readonly type: "request/ended";
      readonly atMs: number;
      readonly tag: string;
      readonly result: SeenResult;
    }
  | { readonly type: "load/stopRequested"; readonly atMs: number };

export type LoadEffect =
  | { readonly type: "request/send"; readonly request: LoadRequest }
  /** All was sent and has ended. */
  | { readonly type: "load/finished" };

/** Percentiles of one stream. */
export interface LatencyReport {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Result of one stream. */
export type StreamReport = Omit<StreamCounts, "latencyMs"> & {
  readonly team: string;
  readonly queue: string;
  readonly workMs: number;
  readonly latency: LatencyReport;
};

/** Result of a load. */
export interface LoadReport {
  readonly streams: readonly StreamReport[];
  /** What callers were told, by tag. */
  readonly outcomes: Readonly<
    Record<string, { readonly idempotent: boolean; readonly outcome: SeenOutcome }>
  >;
}
