export * from "./constants.js";
export * from "./events.js";
export * from "./state.js";
export * from "./types.js";
export { chainsMs } from "./estimates.js";
