import type { EscrowTerms } from "@heatherferry/coordination";

/** Options of a test fleet. */
export interface TestFleetOptions {
  /** Number of entry hosts by zone. */
  readonly zones: Readonly<Record<string, number>>;
  /** Text of the rules in force at the start. */
  readonly rules: string;
  readonly seed: number;
  readonly slotsPerZone?: number;
  /** One-way latency between a node and the table. */
  readonly latencyMs?: number;
  /** Each node starts after a random delay of up to this length. */
  readonly startWithinMs?: number;
  /** Terms that replace the default ones. */
  readonly terms?: Partial<EscrowTerms>;
}
