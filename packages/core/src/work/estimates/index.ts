export { LEARNING, RUN_TIMES_ROW, SAMPLES } from "./constants.js";
export { runKindOf } from "./runKind.js";
export { callersExpectation, RunTimeEstimates, type KindSummary } from "./runTimeEstimates.js";
export type { Expectation, RunKind, RunTimesRow, RunTraits } from "./types.js";
