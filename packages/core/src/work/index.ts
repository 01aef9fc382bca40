export * from "./constants.js";
export * from "./events.js";
export * from "./state.js";
export * from "./types.js";
export { targetIn } from "./lives.js";
export { chainsMs } from "./estimates.js";
