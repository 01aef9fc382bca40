import type { EscrowTerms } from "@heatherferry/coordination";

/** What a test fleet is made of. */
export interface TestFleetOptions {
  readonly zones: Readonly<Record<string, number>>;
  readonly rules: string;
  readonly seed: number;
  readonly slotsPerZone?: number;
  readonly latencyMs?: number;
  /** Nodes start at random times within this span. */
  readonly startWithinMs?: number;
  /** Other terms than the usual ones. */
  readonly terms?: Partial<EscrowTerms>;
}
