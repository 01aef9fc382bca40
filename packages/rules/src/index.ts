export * from "./constants.js";
export * from "./emptyRuleSet.js";
export * from "./types.js";
