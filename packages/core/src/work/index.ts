export * from "./constants.js";
export * from "./events.js";
export * from "./state.js";
export * from "./types.js";
export { STARVATION_REASON, type StarvationReason } from "./starvation.js";
export { WORKER_CLOSURE } from "./workerAvailability.js";
export { echoedTarget } from "./incarnations.js";
export { criticalPathsMs } from "./criticalPaths.js";
