import { build } from "hdr-histogram-js";
import { xoroshiro128plus } from "pure-rand";
import { LOAD } from "./constants.js";
import type { LoadPlan, LoadState, StreamCounts } from "./types.js";

const zeroCounts = (): StreamCounts => ({
  sent: 0,
  answered: 0,
  notRun: 0,
  unknown: 0,
  broken: 0,
  crossed: 0,
  notWhole: 0,
  refusals: {},
  answeredBySecond: [],
  latencyMs: build({ highestTrackableValue: LOAD.HISTOGRAM_MAX_MS }),
});

/**
 * Returns the state of a load that has not sent any request.
 *
 * @param plan - The load plan.
 * @param atMs - Start time of the load.
 */
export const initialLoadState = (plan: LoadPlan, atMs: number): LoadState => ({
  plan,
  random: xoroshiro128plus(plan.seed),
  startedAtMs: atMs,
  lastTickAtMs: atMs,
  nextSequence: 0,
  dueThousandths: plan.streams.map(() => 0),
  counts: plan.streams.map(zeroCounts),
  inFlight: new Map(),
  outcomes: new Map(),
  stopping: false,
});
