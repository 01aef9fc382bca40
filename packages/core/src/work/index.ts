export * from "./constants.js";
export * from "./events.js";
export * from "./state.js";
export * from "./types.js";
export { echoedTarget } from "./incarnations.js";
export { criticalPathsMs } from "./criticalPaths.js";
