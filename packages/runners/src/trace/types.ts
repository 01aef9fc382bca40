import type { NodeIdentity } from "@heatherferry/core";

/** First line of a trace: what the node was when its first event came. */
export interface TraceHeader {
  readonly format: "heatherferry-trace/1";
  readonly identity: NodeIdentity;
  readonly seed: number;
  readonly startedAtMs: number;
}

/** What a replay came to. */
export interface ReplayResult {
  readonly events: number;
  /** Effects by type. */
  readonly effects: Readonly<Record<string, number>>;
  /** Requests by what became of them. */
  readonly requests: Readonly<Record<string, number>>;
  /** Refusals by kind. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly revision: number;
  /** Violations of invariants, each with the number of the event, from 1. */
  readonly violations: readonly { readonly event: number; readonly text: string }[];
}
