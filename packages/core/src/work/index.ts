export * from "./constants.js";
export * from "./events.js";
export * from "./state.js";
export * from "./types.js";
export { STARVATION_REASON, type StarvationReason } from "./submissions/starvation.js";
export { WORKER_CLOSURE } from "./workers/workerAvailability.js";
export { echoedTarget } from "./workers/incarnations.js";
export { criticalPathsMs } from "./submissions/criticalPaths.js";
export { bodyBytesToRead } from "./calls/callHead.js";
