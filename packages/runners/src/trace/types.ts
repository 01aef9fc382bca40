import type { NodeIdentity } from "@heatherferry/core";

/** First line of a trace: what is needed to rebuild the node's initial state. */
export interface TraceHeader {
  readonly format: "heatherferry-trace/1";
  readonly identity: NodeIdentity;
  readonly seed: number;
  readonly startedAtMs: number;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly events: number;
  /** Number of effects by type. */
  readonly effects: Readonly<Record<string, number>>;
  /** Number of requests by outcome. */
  readonly requests: Readonly<Record<string, number>>;
  /** Number of refusals by kind. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly revision: number;
  /** Violations of invariants, each with the number of its event, counted from 1. */
  readonly violations: readonly { readonly event: number; readonly text: string }[];
}
