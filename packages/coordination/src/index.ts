export * from "./fairQueue/fairQueue.js";
export * from "./fairQueue/types.js";
