export * from "./fairQueue/types.js";
